"""The store turns two of six nodes away while the nodes of a zone are stopped and started in turn. No
task may run twice at the same time."""

import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin"))
import small_site as s

ZONES = ["hala-rez", "hala-lestenie", "kancelaria"]
NODES = {"hala-rez": 2, "hala-lestenie": 3, "kancelaria": 1}

# `platform_down` with `nodes`: 0.33 of the nodes for 9 s.
TURNED_AWAY = ["front-hala-lestenie-1", "front-hala-lestenie-2"]
AWAY_S = 9.0

# `roll_term`: one machine after the other, about a second apart, the pause that `kinds` has; each is
# back half a second after its end.
ROLLED = ["front-hala-rez-1", "front-hala-rez-2"]
GAP_S = 1.05
RESTART_S = 0.5

# How long clients wait; the timeout of the route.
BUDGET_MS = 6000
TURNS = 5


async def roll(node):
    """Stops a node as the platform does, and starts it again."""
    node.site.record.write("sigterm", node=node.name)
    node.process.send_signal(signal.SIGTERM)
    for _ in range(s.GRACE_S * 100):
        if node.process.poll() is not None:
            break
        await asyncio.sleep(0.01)
    node.end()
    await asyncio.sleep(RESTART_S)
    node.start()


async def case(site, trouble):
    nodes = [(f"front-{zone}-{i + 1}", zone, 0.25) for zone in ZONES for i in range(NODES[zone])]
    executors = [
        (f"i-{zone}-{index}", zone, "a", 64000) for zone in ZONES for index in range(6)
    ]
    await site.start(nodes, executors, s.config(timeout_ms=BUDGET_MS))
    sending = True

    async def traffic():
        while sending:
            await asyncio.sleep(0.11)
            ms = site.random.randint(2000, 3600)
            document = s.job(4, ms, round(ms * 0.8), 7500)
            # The platform sends no new channels to a node that isn't ready or doesn't answer.
            up = [node for node in site.nodes if node.name not in ROLLED]
            order = site.random.sample(up, 2)
            asyncio.create_task(
                site.call(order, site.job_id(), document, budget_ms=BUDGET_MS)
            )

    asyncio.create_task(traffic())
    await asyncio.sleep(3)
    for turn in range(TURNS):
        for node in site.nodes:
            if trouble and node.name in TURNED_AWAY:
                node.gate.is_closed = True
                site.record.write("turned-away", node=node.name, for_s=AWAY_S)
        await asyncio.sleep(2.5)
        rolls = []
        for node in site.nodes:
            if node.name in ROLLED:
                rolls.append(asyncio.create_task(roll(node)))
                await asyncio.sleep(GAP_S)
        await asyncio.sleep(AWAY_S - 2.5 - GAP_S * len(ROLLED))
        for node in site.nodes:
            node.gate.is_closed = False
        site.record.write("served-again")
        await asyncio.gather(*rolls)
        await asyncio.sleep(5)
    sending = False
    await asyncio.sleep(6)
    return [
        f"TWICE: {first['task']} ran as run {first['run']} on {first['executor'].name} and as run "
        f"{second['run']} on {second['executor'].name} at the same time for {length} ms"
        for first, second, length in site.overlaps()
    ]


s.main(os.path.dirname(os.path.abspath(__file__)), case)
