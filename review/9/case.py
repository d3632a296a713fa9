"""The leader's machine and a worker with a task that lasts are lost for good at the same time."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib-2"))
import cell as cells  # noqa: E402

ZONES = ["tx-austin", "tx-waco", "tx-temple"]
CPU = 20000
TASKS = 6
# LOST holds for a task that lasts from 6 s after its last run.
RESTART_S = 6
WATCHED_S = 12
# A new machine comes this long after the leader's is gone.
REPLACED_S = 2


async def case(cell, trouble):
    nodes = [("node-%d" % n, ZONES[n % 3]) for n in range(6)]
    workers = [cells.Worker(cell, "i-%04x" % n, ZONES[n % 3]) for n in range(12)]
    routes = [cells.route("quote", 0), cells.route("survey", 1), cells.route("invoice", 2)]
    await cell.open(nodes, workers, routes)
    await asyncio.sleep(2)
    service = cells.Behaviour(cpu=CPU, lasting=True)
    job = await cell.submit("survey", [cells.step(TASKS, CPU, 0, perpetual=True)], service)
    await asyncio.sleep(6)
    if len(cell.running(job)) != TASKS:
        raise cells.CannotRun("%d of %d tasks run" % (len(cell.running(job)), TASKS))

    leader = cell.leader()
    run = min(cell.running(job), key=lambda run: run.task)
    cell.record("the leader is", leader.name, "and", run.task, "runs on", run.worker.id)
    at = cell.record.now()
    if trouble:
        cell.record(leader.name, "and", run.worker.id, "are lost for good")
        leader.kill()
        run.worker.crash()
        asyncio.ensure_future(replace(cell, leader, run.worker))
    idle = cells.Idle(cell, run.task, CPU, under_half=False)
    await idle.watch(at + RESTART_S, at + RESTART_S + WATCHED_S)
    if idle.longest >= 3:
        return ["LOST: the task %s, which lasts, was not running from %.1f to %.1f s after its last run, with "
                "room for it twice over" % (run.task, idle.window[0] - at, idle.window[1] - at)]
    return []


async def replace(cell, leader, worker):
    """A new machine comes at another address; the entry of the lost worker expires."""
    await asyncio.sleep(REPLACED_S)
    node = cells.Node(cell, "node-new", leader.zone)
    cell.nodes.append(node)
    node.start()
    await asyncio.sleep(3 * cells.HEARTBEAT_S - REPLACED_S)
    cell.store.remove("servers/" + worker.id)


sys.exit(cells.main(case))
