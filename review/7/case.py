import asyncio, os, signal, sys, time
FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib-2"))
import tier as lib

DEADLINE_MS, CLIENTS, TARGET_MS = 5000, 60, 300
ROUTES = [{"name": "r-work", "path_prefix": "/work/", "kind": "idempotent", "timeout_ms": 5000, "target_ms": TARGET_MS, "retries": 2}]


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
        left = {name: at for name, at in requests.items() if at is not None}
        at_work, reached, runs = set(), set(), {}
        for event in tier.server_events():
            record(f"{event['server']}: {event['what']} {event['id']}", event["at"])
            run = (event["server"], event["id"])
            if event["what"] == "begin":
                runs[run] = event["at"]
                if event["id"] in left and event["at"] > left[event["id"]] + 0.5:
                    reached.add(event["id"])
            elif event["id"] in left and runs[run] <= left[event["id"]] < event["at"] - 0.5:
                at_work.add(event["id"])
        record.say(f"{len(requests)} requests; {len(left)} whose client left; half a second later servers were still at work on {len(at_work)} of these, and after that {len(reached)} of these reached a server")
        # "More than a few": more than three; or more than a quarter of those that would have lasted so long.
        return int(len(reached) > 3 or len(at_work) > len(left) / 4)
    finally:
        tier.stop()


lib.run_case(FOLDER, case)
