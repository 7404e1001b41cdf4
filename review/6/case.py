import asyncio, os, signal, sys, time
FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib-2"))
import tier as lib

TIMEOUT_MS, DEADLINE_MS, CLIENTS, DARK_S = 2000, 5000, 90, 4.5
ROUTES = [{"name": "r-work", "path_prefix": "/work/", "kind": "idempotent", "timeout_ms": TIMEOUT_MS, "target_ms": 300}]


async def client(tier, record, plane, outcome):
    """Sends one request and waits until its own deadline for the whole answer."""
    request_id = lib.new_id()
    reader, writer = await asyncio.open_connection(*tier.front(plane))
    sent = time.time()
    record(f"sent {request_id}", sent)
    # The answer takes a second at the server: half of the route's time.
    writer.write(lib.request_head("POST", "/work/body/20000/20/50/x", request_id, DEADLINE_MS, length=0))
    result, got = "no end", 0
    try:
        async with asyncio.timeout(DEADLINE_MS / 1000):
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1")
            status = int(head.split(" ")[1])
            length = [int(line.split(":")[1]) for line in head.split("\r\n") if line.lower().startswith("content-length")]
            while got < length[0] and (piece := await reader.read(65536)):
                got += len(piece)
            result = f"{status}, whole" if got == length[0] else f"{status}, cut"
    except TimeoutError:
        pass
    except (ConnectionError, asyncio.IncompleteReadError):
        result = "closed"
    took = time.time() - sent
    record(f"request {request_id}: {result}, {got} bytes of the body, after {took:.3f} s")
    outcome.append((result, took))
    writer.close()


async def play(tier, record, trouble):
    outcome = []
    tasks = [asyncio.ensure_future(client(tier, record, number % 2, outcome)) for number in range(CLIENTS)]
    await asyncio.sleep(0.5)
    if trouble:
        stopped = tier.servers[0]
        stopped.send_signal(signal.SIGSTOP)
        record.say(f"server {stopped.name}, one of {len(tier.servers)}, goes dark")
        await asyncio.sleep(DARK_S)
        stopped.kill()
        record(f"server {stopped.name} has been dark for {DARK_S} s and is ended")
    await asyncio.gather(*tasks)
    return outcome


def case(record, trouble):
    tier = lib.Tier(record, servers=6, slots=64, routes=ROUTES)
    try:
        tier.put_configuration(1, 0)
        tier.wait_ready()
        time.sleep(2.5)
        outcome = asyncio.run(play(tier, record, trouble))
        # The rule: eight or more of the requests that outlast timeout_ms, and over a quarter, have no final answer 0.5 s after it.
        outlast = [took for _, took in outcome if took > TIMEOUT_MS / 1000]
        late = [took for took in outlast if took > TIMEOUT_MS / 1000 + 0.5]
        whole = sum(result == "200, whole" for result, _ in outcome)
        never = sum(result == "no end" for result, _ in outcome)
        record.say(f"{len(outcome)} requests: {whole} answered whole; {len(outlast)} outlasted timeout_ms; {len(late)} of these had no final answer 0.5 s after it; {never} none when their clients gave up, {DEADLINE_MS / 1000:.0f} s after they were sent")
        if whole < len(outcome) / 2:
            raise lib.CannotRun("too few requests were served")
        return int(len(late) >= 8 and len(late) > len(outlast) / 4)
    finally:
        tier.stop()


lib.run_case(FOLDER, case)
