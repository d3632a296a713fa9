"""After a quiet minute a job starts; the leader is then stopped gracefully and the worker is cut off."""
import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib-2"))
import cell as cells  # noqa: E402

ZONES = ["tx-austin", "tx-waco", "tx-temple"]
QUIET_S = 55
CUT_S = 5.5


async def case(cell, trouble):
    nodes = [("node-%d" % n, ZONES[n % 3]) for n in range(6)]
    workers = [cells.Worker(cell, "i-%04x" % n, ZONES[n % 3]) for n in range(6)]
    for worker in workers:
        # The steady clock of a worker may be 2% slow.
        worker.clock_rate = 0.98
    routes = [cells.route("quote", 0), cells.route("survey", 1), cells.route("invoice", 2)]
    await cell.open(nodes, workers, routes)
    await asyncio.sleep(QUIET_S)

    cell.started.clear()
    long = cells.Behaviour(cpu=9000, work_s=9.0)
    leader = cell.leader()
    others = [node for node in cell.nodes if node is not leader]
    submitted = asyncio.ensure_future(cell.submit("invoice", [cells.step(1, 9000, 9.0)], long, nodes=others))
    await asyncio.wait_for(cell.started.wait(), 5)
    run = cell.starts[-1][1]
    at = cell.record.now()
    if trouble:
        leader.signal(signal.SIGTERM)
        await asyncio.sleep(0.05)
        run.worker.is_cut = True
        cell.record("worker", run.worker.id, "is cut off from all nodes and runs on")
    await submitted
    await asyncio.sleep(max(0.0, at + CUT_S - cell.record.now()))
    run.worker.is_cut = False
    cell.record("the cut, if any, has ended")
    await asyncio.sleep(6)
    return ["TWICE: %s runs as run %d on %s since it started there, %.1f s after the first start, while run %d "
            "goes on on %s" % (run.task, run.run, run.worker.id, run.begun - other.begun, other.run, other.worker.id)
            for run, other in cell.twice]


sys.exit(cells.main(case))
