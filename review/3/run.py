"""The head of the core freezes while its orders to the platform are under way, and wakes again. The rule ONE: for the
same duty and subject, two holders send an identical fence."""

import asyncio
import pathlib
import random
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))
import tier as t

ZONES = 4
SERVERS_PER_ZONE = 4
AUTOSCALE = {"min": 2, "max": 12, "boot_s": 4.0}
REQUESTS_PER_S = 50
# The servers answer later than the route's objective of 300 ms, so that more servers are ordered.
SERVER_DELAY_S = 0.4
# How late the platform answers an order while it is slow.
SLOW_S = 0.9
FREEZE_S = 3.5
WATCH_S = 16.0


class Fleet:
    """The platform's servers: ordered ones serve after `boot_s`."""

    def __init__(self, record, platform):
        self.record, self.platform = record, platform
        self.desired = {f"zone-{zone}": SERVERS_PER_ZONE for zone in range(ZONES)}
        self.started = 0

    async def add(self, zone):
        engine = t.Engine(lambda text: None, f"i-{self.started}", events=2, first_delay=SERVER_DELAY_S)
        self.started += 1
        self.platform.engines.append(await engine.start(zone))

    async def start(self):
        for zone, count in self.desired.items():
            for _ in range(count):
                await self.add(zone)

    def order(self, zone, desired):
        wanted = max(AUTOSCALE["min"], min(AUTOSCALE["max"], desired))
        for _ in range(max(0, wanted - self.desired[zone])):
            asyncio.get_running_loop().call_later(
                AUTOSCALE["boot_s"], lambda: asyncio.ensure_future(self.add(zone)))
        self.desired[zone] = wanted


async def client(tier, counts, number, stop):
    """Sends requests at a steady rate until `stop` is set."""
    sequence = 0
    while not stop.is_set():
        sequence += 1
        fields = [("Host", "tier.example"), ("Authorization", "Bearer key-of-tenant"),
                  ("X-Fennelgauge-Request-Id", f"r{number}-{sequence}"), ("X-Fennelgauge-Request-Deadline", "5000"),
                  ("X-Fennelgauge-Model", "m"), ("X-Fennelgauge-Token-Usage", "100,20")]
        plane = random.Random(number * 7919 + sequence).randrange(tier.plane_count)
        reply = await t.call(tier.front(plane), "POST", f"/live/{number}", fields, b"prompt", 5.0)
        counts[reply.status] = counts.get(reply.status, 0) + 1
        await asyncio.sleep(max(0.0, 1.0 - SERVER_DELAY_S))


async def main(record):
    platform = await t.Platform(record).start()
    fleet = Fleet(record, platform)
    await fleet.start()
    tier = t.Tier(record, platform)
    frozen = {}
    loop = asyncio.get_running_loop()

    def on_scale(holder, fence, body):
        fleet.order(body["zone"], body["desired"])
        if t.TROUBLE and not frozen and holder in tier.processes:
            frozen[holder] = fence
            tier.signal(holder, signal.SIGSTOP)
            loop.call_later(FREEZE_S, tier.signal, holder, signal.SIGCONT)

    platform.on_scale = on_scale
    if t.TROUBLE:
        platform.scale_delay = SLOW_S
    try:
        await tier.start()
        routes = [t.route("live", "streaming")]
        await tier.order("Config.Put", "0", t.configuration(1, routes, ["tenant"], AUTOSCALE))
        await tier.wait_ready()
        stop, counts = asyncio.Event(), {}
        clients = [asyncio.ensure_future(client(tier, counts, number, stop)) for number in range(REQUESTS_PER_S)]
        until = time.monotonic() + 40
        while not any(call[1] == "scale" for call in platform.calls):
            if time.monotonic() > until:
                raise t.CannotRun("no order came")
            await asyncio.sleep(0.1)
        await asyncio.sleep(WATCH_S)
        stop.set()
        await asyncio.gather(*clients)
        record(f"answers to clients by status: {counts}")
        if t.TROUBLE and not frozen:
            raise t.CannotRun("the holder was not one of the tier's processes")
        holders = {}
        for _, duty, subject, holder, fence, _, _ in platform.calls:
            seen = holders.setdefault((duty, subject, fence), [])
            if holder not in seen:
                seen.append(holder)
        return [f"ONE: {duty} for {subject}: fence {fence} was sent by {seen}"
                for (duty, subject, fence), seen in sorted(holders.items()) if len(seen) > 1]
    finally:
        tier.end()


t.run(main)
