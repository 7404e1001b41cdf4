import asyncio, os, signal, sys, time
FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib-2"))
import tier as lib

DEADLINE_MS, CLIENTS, TARGET_MS = 5000, 60, 300
ROUTES = [{"name": "r-work", "path_prefix": "/work/", "kind": "idempotent", "timeout_ms": 5000, "target_ms": TARGET_MS}]


async def client(tier, record, plane, leaves, requests):
    """Sends one request. One that leaves closes its connection after half of the route's objective."""
    request_id = lib.new_id()
    reader, writer = await asyncio.open_connection(*tier.front(plane))
    writer.write(lib.request_head("POST", "/work/first/2000/body/1000/1/0/x", request_id, DEADLINE_MS, length=0))
    await writer.drain()
    left = None
    try:
        async with asyncio.timeout(TARGET_MS / 2 / 1000 if leaves else 6):
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1")
            record(f"request {request_id}: {head.split(' ')[1]}")
    except (TimeoutError, ConnectionError, asyncio.IncompleteReadError):
        left = time.time()
        record(f"request {request_id}: the client closes its connection")
    writer.close()
    requests[request_id] = left


async def play(tier, record, trouble):
    requests = {}
    await asyncio.gather(*[client(tier, record, number % 2, trouble and number % 4 < 2, requests) for number in range(CLIENTS)])
    await asyncio.sleep(4)
    return requests


def case(record, trouble):
    tier = lib.Tier(record, servers=6, slots=64, routes=ROUTES)
    try:
        tier.put_configuration(1, 0)
        tier.wait_ready()
        time.sleep(2.5)
        requests = asyncio.run(play(tier, record, trouble))
        begun, ended = {}, {}
        for event in tier.server_events():
            record(f"{event['server']}: {event['what']} {event['id']}", event["at"])
            (begun if event["what"] == "begin" else ended)[event["id"]] = event["at"]
        left = {name: at for name, at in requests.items() if at is not None and name in begun}
        at_work = [name for name, at in left.items() if ended.get(name, 1e12) > at + 0.5]
        record.say(f"{len(requests)} requests; {len(left)} whose client left; servers were still at work on {len(at_work)} of these half a second later")
        return int(len(left) > 0 and len(at_work) > len(left) / 4)
    finally:
        tier.stop()


lib.run_case(FOLDER, case)
