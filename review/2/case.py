"""Nodes are killed while executors leave orders unanswered and carry them out late. No task may run
twice at the same time."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin"))
import small_site as s

ZONES = ["hala-rez", "hala-lestenie", "kancelaria"]
NODES = {"hala-rez": 2, "hala-lestenie": 3, "kancelaria": 1}

# How long clients wait; the timeout of the route.
BUDGET_MS = 5000

# `applied_late`: at most half of the orders, as `fleetbench kinds` says.
SHARE = float(os.environ.get("SHARE", "0.3"))
LATE_FOR_S = 5.5

KILLS = 11


async def case(site, trouble):
    nodes = [(f"front-{zone}-{i + 1}", zone, 0.25) for zone in ZONES for i in range(NODES[zone])]
    executors = [
        (f"i-{zone}-{index}", zone, "a", 64000) for zone in ZONES for index in range(6)
    ]
    await site.start(nodes, executors, s.config(timeout_ms=BUDGET_MS))
    late_until = 0.0
    sending = True
    busy = site.nodes[0]

    def order_fault(kind):
        if site.record.now() < late_until and site.random.random() < SHARE:
            return site.random.uniform(2, 12)
        return None

    for executor in site.executors:
        executor.order_fault = order_fault

    async def traffic():
        while sending:
            await asyncio.sleep(0.09)
            ms = site.random.randint(1900, 2600)
            document = s.job(4, ms, round(ms * 0.8), 7500)
            # Retries reach other nodes. The share of clients that a node gets is uneven.
            up = [node for node in site.nodes if node.process.poll() is None]
            order = site.random.sample(up, 2)
            if busy in up and site.random.random() < 0.6:
                order = [busy] + [node for node in order if node is not busy][:1]
            asyncio.create_task(
                site.call(order, site.job_id(), document, budget_ms=BUDGET_MS)
            )

    asyncio.create_task(traffic())
    await asyncio.sleep(3)
    for kill in range(KILLS):
        if trouble:
            late_until = site.record.now() + LATE_FOR_S
            site.record.write("applied-late", share=SHARE, for_s=LATE_FOR_S)
        await asyncio.sleep(1)
        if trouble:
            busy.kill()
        await asyncio.sleep(1)
        if trouble:
            busy.start()
        busy = site.nodes[(kill + 1) % len(site.nodes)]
        await asyncio.sleep(LATE_FOR_S - 1)
    sending = False
    await asyncio.sleep(5)
    return [
        f"TWICE: {first['task']} ran as run {first['run']} on {first['executor'].name} and as run "
        f"{second['run']} on {second['executor'].name} at the same time for {length} ms"
        for first, second, length in site.overlaps()
    ]


s.main(os.path.dirname(os.path.abspath(__file__)), case)
