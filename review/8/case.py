"""Three services whose tasks fail again and again, then one invoice job on an otherwise idle fleet."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib-2"))
import cell as cells  # noqa: E402

ZONES = ["tx-austin", "tx-waco", "tx-temple"]


async def case(cell, trouble):
    nodes = [("node-%d" % n, zone) for n, zone in enumerate(ZONES)]
    workers = [cells.Worker(cell, "i-%04x" % n, ZONES[n % 3]) for n in range(6)]
    routes = [cells.route("quote", 0), cells.route("survey", 1), cells.route("invoice", 2)]
    await cell.open(nodes, workers, routes)
    await asyncio.sleep(1.5)

    # 3 s of traffic: 60 quick jobs, and 3 services that can never work (4.8% of 63 jobs).
    for n in range(60):
        quick = cells.Behaviour(cpu=2800, work_s=0.3)
        asyncio.ensure_future(cell.submit("quote", [cells.step(1, 2800, 0.3)], quick))
        if trouble and n in (15, 30, 45):
            broken = cells.Behaviour(cpu=1000, lasting=True, fails_after_s=0.3)
            steps = [cells.step(12, 1000, 0, perpetual=True)]
            asyncio.ensure_future(cell.submit("survey", steps, broken))
        await asyncio.sleep(0.05)
    await asyncio.sleep(9)

    # The last request of the day.
    good = cells.Behaviour(cpu=2000, work_s=1.0)
    job = await cell.submit("invoice", [cells.step(4, 2000, 1.0)], good)
    if job is None:
        return ["LOST: the invoice job was not accepted"]
    end = cell.record.now()
    cell.record("end of the traffic; the invoice job is", job)
    idle = cells.Idle(cell, job + ".", 2000, under_half=True)
    begin = end + cells.FINISH_S
    await idle.watch(begin, begin + 10)
    state = await cell.state(cell.nodes[0], "invoice", job)
    started = [run for _, run in cell.starts if run.task.startswith(job)]
    cell.record("the invoice job is", state, "and had", len(started), "starts")
    if idle.longest >= 3 and state != "completed":
        return ["LOST: %.1f s after the end of the traffic the accepted job %s (%s, %d starts) has had "
                "nothing running for %.1f s, with room for it twice over and at most %.0f%% of the "
                "capacity in use" % (idle.window[1] - end, job, state, len(started), idle.longest,
                                     idle.max_used * 100)]
    return []


sys.exit(cells.main(case))
