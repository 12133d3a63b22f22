"""An entry of another writer, with a service that no configuration names, at a live target's address."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standin-2"))
from standin import Deployment, Flow, Target, main, now, trouble  # noqa: E402

ADDRESS = ("198.18.0.1", 8443)
FLOWS = 12
SECONDS = 8.0


def config():
    route = {"name": "crane-feed", "hostname": ADDRESS[0], "path-prefix": f"/{ADDRESS[1]}/",
             "type": "safe", "timeout-ms": 800, "aim-ms": 120, "priority": 2, "service": "quaydesk",
             "max-attempts": 2}
    service = {"name": "quaydesk", "health-path": "/health", "max-flows": 2000, "protocol": "h1",
               "tls": False, "cold-start-s": 2.0, "cold-per-s": 20.0}
    limits = {"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000,
              "idle-timeout-ms": 15000}
    return {"version": 7, "routes": [route], "services": [service], "limits": limits}


async def supervisor(d, number, stop):
    """A client that keeps one flow open and sends a request every 100 ms. Opens a new flow if it ends."""
    host, answered, failed, resets = d.clients[number % len(d.clients)], 0, 0, []
    count = 0
    while not stop.is_set():
        flow = Flow(host, ADDRESS)
        if not await flow.open():
            failed += 1
            await asyncio.sleep(0.05)
            continue
        while not stop.is_set() and flow.state == "open":
            count += 1
            answer = await flow.request(f"r{number}-{count}", 0.8)
            answered, failed = answered + (answer is not None), failed + (answer is None)
            await asyncio.sleep(0.1)
        resets += [(flow, it) for it in flow.resets]
        flow.close()
    return answered, failed, resets


async def case(d):
    await d.start()
    targets = [await Target(d.record, ident, "quaydesk", d.zones[0]).start(f"{d.net}.2.{n + 1}")
               for n, ident in enumerate(("i-7f3a91c2", "i-0b5d44e1"))]
    d.store.put("config", "main", config())
    for target in targets:
        d.register(target)
    for instance in d.instances:
        instance.start(first=True)
    d.spawn(d.router.run())
    if not await d.wait_ready():
        return None
    await asyncio.sleep(10.0 - now())  # traffic starts 10 s after the machines do
    stop = asyncio.Event()
    clients = [d.spawn(supervisor(d, n, stop)) for n in range(FLOWS)]
    await asyncio.sleep(SECONDS / 2)
    if trouble():
        entry = {**targets[0].entry(), "service": "quaydesk-next", "sequence": 1}
        d.store.put("servers", "i-5c20e8d7", entry)
        d.record.line(f"another writer wrote servers/i-5c20e8d7: {entry}")
    await asyncio.sleep(SECONDS / 2)
    stop.set()
    results = [await client for client in clients]
    broken = 0
    for number, (answered, failed, resets) in enumerate(results):
        d.record.line(f"client {number}: {answered} answered, {failed} not answered")
        for flow, (at, by, sender, state, valid) in resets:
            target = next((t for t in targets if flow.key in t.opened_at), None)
            counts = by == "system" and state == "open" and valid and target is not None
            broken += counts
            d.record.line(f"  reset at {at:.3f} by the {by}, from {sender}, flow {state}, opened at "
                          f"{flow.opened_at:.3f} at {target.ident if target else None}")
    for target in targets:
        late = sum(at > now() - SECONDS / 2 + 1 for at, _, _ in target.openings)
        d.record.line(f"{target.ident}: {len(target.openings)} flows, {len(target.runs)} requests run, "
                      f"{late} flows opened in the last {SECONDS / 2 - 1} s, lives until the end")
    refused = sum(failed for _, failed, _ in results)
    d.record.line(f"open flows of live targets that the system reset: {broken}; not answered: {refused}")
    return broken == 0


main(case, Deployment(os.path.join(HERE, "record.txt"), 3,
                      ("horn-east-a", "horn-east-b", "horn-east-c")))
