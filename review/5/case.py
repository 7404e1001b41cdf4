import asyncio, base64, json, os, signal, socket, sys, time
FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib-2"))
import tier as lib

LINK_MBPS = 30.0   # link of a data plane's machine in the grown deployments
READERS, ITEMS = 7, 200
ROUTES = [{"name": "r-batch", "path_prefix": "/batch/", "kind": "batch", "timeout_ms": 8000, "target_ms": 400, "batch_target_ms": 10000, "retention_s": 40, "max_queued": 760000}]


class Link:
    """The link of a data plane's machine: hands on at LINK_MBPS what the data plane sends, all connections together. Small segments
    and a small window, so that a writer is held up when its peer does not read."""

    def __init__(self, target):
        self.target, self.free_at = target, 0.0

    async def start(self, ip):
        self.server = await asyncio.start_server(self.serve, ip, 0)
        return self.server.sockets[0].getsockname()

    async def serve(self, reader, writer):
        raw = socket.socket()
        raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, 536)
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8192)
        raw.setblocking(False)
        loop = asyncio.get_running_loop()
        try:
            await loop.sock_connect(raw, self.target)
            up = asyncio.ensure_future(self.upward(loop, reader, raw))
            while piece := await loop.sock_recv(raw, 4096):
                now = time.time()
                self.free_at = max(self.free_at, now) + len(piece) * 8 / (LINK_MBPS * 1e6)
                await asyncio.sleep(self.free_at - now)
                writer.write(piece)
                await writer.drain()
            up.cancel()
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()
            raw.close()

    async def upward(self, loop, reader, raw):
        while piece := await reader.read(65536):
            await loop.sock_sendall(raw, piece)


async def call(address, method, path, more=(), body=b"", request_id=None):
    """One call on a new connection: its status (0: none), its body, and whether the answer is whole."""
    reader, writer = await asyncio.open_connection(*address)
    writer.write(lib.request_head(method, path, request_id, None, more, len(body)) + body)
    status, got, whole = 0, b"", False
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1")
        status = int(head.split(" ")[1])
        lengths = [int(line.split(":")[1]) for line in head.split("\r\n") if line.lower().startswith("content-length")]
        while len(got) < lengths[0] and (piece := await reader.read(65536)):
            got += piece
        whole = len(got) == lengths[0]
    except (ConnectionError, asyncio.IncompleteReadError):
        pass
    writer.close()
    return status, got, whole


async def read_page(record, address, path, outcome):
    sent = time.time()
    try:
        async with asyncio.timeout(2.5):  # the poll's wait and 1.5 s more, as clients do
            status, got, whole = await call(address, "GET", path, ["X-Fennelgauge-Poll-Wait: 1000"])
            result = f"{status}, {'whole' if whole else 'cut'}, {len(got)} bytes"
    except TimeoutError:
        result = "the client gave up"
    record(f"read of {path}: {result}, after {time.time() - sent:.3f} s")
    outcome.append(result)


def end_of(child, record):
    code = child.wait(10)
    record(f"{child.name} has ended with {code}")


async def play(tier, record, trouble):
    link = Link(tier.front(0))
    address = await link.start(f"{tier.subnet}.251")
    job = lib.new_id()
    items = [{"id": lib.new_id(), "path": f"/batch/events/32/0/140/{number}", "headers": {}, "body": base64.b64encode(b"prompt").decode(), "tokens": 1200} for number in range(ITEMS)]
    body = json.dumps({"requests": items}).encode()
    status, _, _ = await call(tier.front(1), "POST", "/batch/x", ["Content-Type: application/json"], body, job)
    record(f"batch job {job} of {ITEMS} items: {status}")
    if status != 202:
        raise lib.CannotRun("the batch job was not accepted")
    path = f"/-/lots/{job}?start_after=0"
    until = time.time() + 40
    while True:
        _, got, whole = await call(tier.front(1), "GET", f"/-/lots/{job}?start_after={ITEMS - 1}")
        if whole and json.loads(got)["results"]:
            break
        if time.time() > until:
            raise lib.CannotRun("the batch job did not end")
        await asyncio.sleep(0.3)
    record(f"batch job {job} is done")
    # The platform asks each second whether the data plane is ready; two misses in a row take it out.
    misses, outcome = 0, []
    if not await asyncio.to_thread(tier.is_ready, 0):
        raise lib.CannotRun("the data plane is not ready")
    asked = time.time()
    await asyncio.sleep(0.1)
    if trouble:
        tier.planes[0].send_signal(signal.SIGTERM)
        record.say(f"SIGTERM to {tier.planes[0].name}")
        ended = asyncio.ensure_future(asyncio.to_thread(end_of, tier.planes[0], record))
    await asyncio.sleep(asked + 1 - time.time())
    misses += not await asyncio.to_thread(tier.is_ready, 0)
    record(f"the platform has missed {misses} times: new connections still go to it")
    await asyncio.sleep(asked + 1.9 - time.time())
    await asyncio.gather(*[read_page(record, address, path, outcome) for _ in range(READERS)])
    if trouble:
        await ended
    return outcome


def case(record, trouble):
    tier = lib.Tier(record, data_planes=3, servers=6, slots=64, routes=ROUTES)
    try:
        tier.put_configuration(1, 0)
        tier.wait_ready()
        time.sleep(3)
        outcome = asyncio.run(play(tier, record, trouble))
        cut = sum("cut" in result for result in outcome)
        record.say(f"{len(outcome)} reads that the data plane took: {cut} ended without a complete answer")
        return int(cut > 0)
    finally:
        tier.stop()


lib.run_case(FOLDER, case)
