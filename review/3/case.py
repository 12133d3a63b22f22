"""The instance that reads the store for all is partitioned from the store, in silence; then a target drains."""
import asyncio, json, os, sys
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin"))
from standin import CannotRun, config, main, now

DRAIN_S = 3.0  # drain-ms
CUT_S = 5.5  # largest for_s of a core_cut on the small sites
WATCH_CYCLE_S = 2.25  # seen between two quiet watches of the evacuations


def last_watch(world, kind):
    calls = [c for c in world.store.calls if "/%s?watch=" % kind in c[3]]
    return calls[-1] if calls else None


async def case(world):
    route = (world.net + "200", 8443)
    routes, services = [("r-first", route, "safe", "desk", 2000, 120, 2)], [("desk", 2.0, 50.0)]
    await world.start(
        instances=[("front-a-1", "a", 10), ("front-a-2", "a", 11), ("front-a-3", "a", 12),
                   ("front-b-1", "b", 20), ("front-b-2", "b", 21)],
        seeds=[10, 11, 20],
        targets=[("srv-0a1", "desk", "a", 100, {}), ("srv-0a2", "desk", "a", 101, {}),
                 ("srv-0b1", "desk", "b", 110, {}), ("srv-0b2", "desk", "b", 111, {})],
        clients=[("a", 150), ("b", 151)],
        config=config(7, routes, services))
    # All machines are in touch, and the first start of the deployment is over.
    await asyncio.sleep(11)
    end = now() + 16
    loads = [asyncio.create_task(world.load(host, [route], 60, end)) for host in world.hosts]
    await asyncio.sleep(1)
    # The cut begins soon after the reader has sent its watches; a target that is added and a change
    # of a time-out just before make it send them anew.
    seen = last_watch(world, "evacuations")
    if seen is None:
        raise CannotRun("no instance watches the evacuations")
    while last_watch(world, "evacuations") == seen:
        await asyncio.sleep(0.01)
    began, reader = last_watch(world, "evacuations")[:2]
    await asyncio.sleep(began + WATCH_CYCLE_S - 0.50 - now())
    await world.add_target("srv-0a3", "desk", "a", 102)
    await asyncio.sleep(began + WATCH_CYCLE_S - 0.28 - now())
    routes[0] = routes[0][:4] + (2100,) + routes[0][5:]
    await world.store.put("config", "main", json.dumps(config(9, routes, services)))
    await asyncio.sleep(began + WATCH_CYCLE_S + 0.10 - now())
    cut_at = now()
    if world.trouble:
        world.store.cut.add(reader)
        world.record.say("%s is partitioned from the store" % reader)
    leaving = world.targets[0]
    drained = await leaving.drain()
    world.record.say("the store accepted that %s is draining" % leaving.id)
    await asyncio.sleep(cut_at + CUT_S - now())
    world.store.cut.clear()
    world.record.say("the cut has ended")
    await asyncio.gather(*loads)

    cut_ip = next(i.ip for i in world.instances if i.name == reader)
    late = [o for o in world.openings if o[1] is leaving and o[0] > drained + DRAIN_S and o[3] != cut_ip]
    others = sorted({world.name_of(o[3]) for o in late})
    world.record.say("DRAIN: %d new flows reached %s more than %.1f s after the acknowledgement, the last after %.2f s, through %s" % (
        len(late), leaving.id, DRAIN_S, max([o[0] - drained for o in world.openings if o[1] is leaving]),
        ", ".join(others) or "none"))
    if sum(r.outcome == "answered" for r in world.results) < 500:
        raise CannotRun("too little traffic was served")
    return not late


main(case, os.path.dirname(os.path.abspath(__file__)))
