#!/usr/bin/env python3
"""A stand-in for a model server, one process: server.py ADDRESS PORT ID LOG SLOTS [TOKENS]

It behaves as the users' pages say of a sound server: it answers 421 to a request meant for another instance, runs each
request to its end unless its connection closes, carries the request's id and a signature on each answer, and keeps its
connections. The request's path says what the answer is:

  .../body/BYTES/PIECES/MS/...   a body of BYTES bytes with its length, in PIECES pieces, MS milliseconds apart
  .../first/MS/...               the first byte of the answer only after MS milliseconds
  .../events/COUNT/MS/BYTES/...  a stream of COUNT events, MS milliseconds apart, with BYTES bytes of data or a few more, ids
                                 from 1, continued after Last-Event-Id

With .../engine/MS/... a request is admitted to the server's memory (TOKENS tokens, the sixth argument) before it runs, the more urgent
`Priority` first, and keeps its tokens (`X-Fennelgauge-Token-Usage`) for MS milliseconds; then its answer is a stream of three events.

Each thing that happens is a line of JSON in LOG: begin (a run began), end (all of its answer was written), gone (its
connection closed before that).
"""
import asyncio, json, sys, time

address, port, name, log_path, slots = sys.argv[1], int(sys.argv[2]), sys.argv[3], sys.argv[4], int(sys.argv[5])
memory = int(sys.argv[6]) if len(sys.argv) > 6 else 444000
waiting = []   # (priority, number, tokens, future): the order of admission
arrivals = 0
log_file = open(log_path, "a", buffering=1)
running = 0


def log(what, request_id, **more):
    log_file.write(json.dumps({"at": time.time(), "server": name, "what": what, "id": request_id, **more}) + "\n")


def number(parts, word, index, default):
    return int(parts[parts.index(word) + index]) if word in parts else default


async def read_request(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin1").split("\r\n")
    method, path, _ = lines[0].split(" ", 2)
    headers = [tuple(part.strip() for part in line.split(":", 1)) for line in lines[1:] if line]
    found = {key.lower(): value for key, value in headers}
    length = int(found.get("content-length", "0"))
    body = await reader.readexactly(length) if length else b""
    return method, path, found, body


def admit():
    """Lets in whoever is next, as long as there is memory: nobody passes one that is more urgent or came before."""
    global memory
    waiting.sort(key=lambda entry: entry[:2])
    while waiting and waiting[0][2] <= memory:
        _, _, tokens, admitted = waiting.pop(0)
        if not admitted.cancelled():
            memory -= tokens
            admitted.set_result(None)


async def run_in_engine(request_id, parts, headers, writer, common):
    global memory, arrivals, running
    tokens = sum(int(part) for part in headers.get("x-fennelgauge-token-usage", "1000,200").split(","))
    arrivals += 1
    entry = (int(headers.get("priority", "5")), arrivals, tokens, asyncio.get_running_loop().create_future())
    waiting.append(entry)
    admit()
    try:
        await entry[3]
    except asyncio.CancelledError:
        if entry in waiting:
            waiting.remove(entry)
        elif entry[3].done() and not entry[3].cancelled():
            memory += tokens
        admit()
        raise
    log("begin", request_id)
    try:
        last, pause = int(headers.get("last-event-id", "0")), number(parts, "engine", 1, 1000) / 3000
        writer.write(f"HTTP/1.1 200 OK\r\n{common}X-Fennelgauge-Response-Signature: signed-{name}\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n".encode())
        for event in range(last + 1, 4):
            text = f"id: {event}\ndata: {request_id} {event}\n\n".encode()
            writer.write(f"{len(text):x}\r\n".encode() + text + b"\r\n")
            await writer.drain()
            await asyncio.sleep(pause)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        log("end", request_id)
    finally:
        memory += tokens
        admit()


async def answer(path, headers, reader, writer):
    """Writes one answer. Raises ConnectionError if the connection closes before its end."""
    request_id = headers.get("x-fennelgauge-request-id", "")
    parts = path.split("?")[0].split("/")
    common = f"X-Fennelgauge-Request-Id: {request_id}\r\nX-Fennelgauge-Instance-Id: {name}\r\nX-Fennelgauge-Server-Load: {running - len(waiting)},{len(waiting)},{slots}\r\n"
    target = headers.get("x-fennelgauge-target-instance")
    if target and target != name:
        writer.write(f"HTTP/1.1 421 Misdirected Request\r\n{common}Content-Length: 0\r\n\r\n".encode())
        return await writer.drain()
    if path == "/healthz":
        writer.write(f"HTTP/1.1 200 OK\r\n{common}Content-Length: 0\r\n\r\n".encode())
        return await writer.drain()
    if "engine" in parts:
        log("arrived", request_id, path=path, priority=headers.get("priority"))
        return await run_in_engine(request_id, parts, headers, writer, common)
    log("begin", request_id, path=path, tenant=headers.get("x-fennelgauge-tenant"), last=headers.get("last-event-id"), deadline=headers.get("x-fennelgauge-request-deadline"))
    await asyncio.sleep(number(parts, "first", 1, 0) / 1000)
    common += f"X-Fennelgauge-Response-Signature: signed-{name}\r\n"
    if "events" in parts:
        count, pause = number(parts, "events", 1, 5), number(parts, "events", 2, 0) / 1000
        size = number(parts, "events", 3, 0)
        writer.write(f"HTTP/1.1 200 OK\r\n{common}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n".encode())
        await writer.drain()
        for event in range(int(headers.get("last-event-id", "0")) + 1, count + 1):
            text = f"id: {event}\ndata: {f'{request_id} {event} '.ljust(size, 'x')}\n\n".encode()
            writer.write(f"{len(text):x}\r\n".encode() + text + b"\r\n")
            await writer.drain()
            await asyncio.sleep(pause)
        writer.write(b"0\r\n\r\n")
    else:
        size, pieces, pause = number(parts, "body", 1, 100), number(parts, "body", 2, 1), number(parts, "body", 3, 0) / 1000
        body = (request_id.encode() + b" ") * (size // (len(request_id) + 1) + 1)
        writer.write(f"HTTP/1.1 200 OK\r\n{common}Content-Type: application/octet-stream\r\nContent-Length: {size}\r\n\r\n".encode())
        step = max(1, size // pieces)
        for start in range(0, size, step):
            writer.write(body[start:min(start + step, size)])
            await writer.drain()
            if start + step < size:
                await asyncio.sleep(pause)
    await writer.drain()
    log("end", request_id)


async def serve(reader, writer):
    global running
    try:
        while True:
            method, path, headers, _ = await read_request(reader)
            running += 1
            task = asyncio.ensure_future(answer(path, headers, reader, writer))
            # One request at a time on a connection: what comes meanwhile can only be its end.
            watch = asyncio.ensure_future(reader.read(1))
            try:
                done, _ = await asyncio.wait({task, watch}, return_when=asyncio.FIRST_COMPLETED)
                if task not in done:
                    task.cancel()
                    log("gone", headers.get("x-fennelgauge-request-id", ""))
                    return
                task.result()
                watch.cancel()
                try:
                    if await watch:
                        return
                except asyncio.CancelledError:
                    pass
                if watch.done() and not watch.cancelled():
                    return
            except ConnectionError:
                log("gone", headers.get("x-fennelgauge-request-id", ""))
                return
            finally:
                running -= 1
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        pass
    finally:
        writer.close()


async def main():
    server = await asyncio.start_server(serve, address, port, limit=1 << 22, backlog=512)
    async with server:
        await server.serve_forever()


asyncio.run(main())
