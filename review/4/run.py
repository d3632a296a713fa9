"""A job on a queue that the scheduler does not know yet is accepted and never runs."""

import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lib"))
import cell as cells  # noqa: E402

WORKERS = 6
CUT_S = 0.4  # `core_cut` lasts up to 5.5 s in the site files
FINISH_S = 14  # bound `finish_s`
IDLE_S = 3  # rule LOST: "for 3 s, a job has nothing running"
ROUTES = [("invoices", {}), ("quotes", {"priority": 0})]


def new_job():
    return cells.job("work=300", [{"count": 2, "cpu": 1000, "mem_mb": 256, "est_duration_ms": 300}])


async def post(cell, record, node, name):
    """One client: hands the job in, again after 404 (the configuration is on its way) or no answer."""
    spec, steps = cells.JOBS[name]
    for _ in range(60):
        body = {"spec": spec, "steps": steps}
        status, _ = await cells.call(node.front, "POST", f"/surveys/{name}", body, cells.CALLER_HOST)
        record(f"POST /surveys/{name} at {node.name}: {status or 'no answer'}")
        if status not in (0, 404, 502, 503, 504):
            return status
        await asyncio.sleep(0.05)
    return status


async def case(cell, record, trouble):
    await cell.start("abc", WORKERS, ROUTES)
    warm = new_job()
    if await cell.submit(cell.nodes[0], "invoices", warm) != 200:
        raise cells.CannotRun("the first job was not accepted")
    if (await cell.wait_state(cell.nodes[0], "invoices", warm, "completed", 10))[1] != "completed":
        raise cells.CannotRun("the first job was not completed")

    leader = cell.leader()
    others = [node for node in cell.nodes if node is not leader]
    if trouble:
        record(f"the link between {leader.name}, the scheduler, and the store is cut for {CUT_S} s")
        leader.store_link.cut()
    await cell.store.configure(2, ROUTES + [("surveys", {})])
    record("the store has acknowledged version 2 with the queue surveys")
    await asyncio.sleep(0.1)
    jobs = [new_job() for _ in others]
    posts = [asyncio.ensure_future(post(cell, record, node, name)) for node, name in zip(others, jobs)]
    await asyncio.sleep(CUT_S - 0.1)
    leader.store_link.heal()
    record("the link is whole")
    answers = await asyncio.gather(*posts)
    accepted = [name for name, status in zip(jobs, answers) if status == 200]
    if not accepted:
        raise cells.CannotRun("no job was accepted")

    await asyncio.sleep(FINISH_S)
    started = time.monotonic()
    waiting = set(accepted)
    while time.monotonic() - started < IDLE_S:
        for name in list(waiting):
            if cell.runs(name) or (await cell.state(others[0], "surveys", name))[1] not in ("queued", "running"):
                waiting.discard(name)
        await asyncio.sleep(0.25)
    after = new_job()
    await post(cell, record, others[0], after)
    await cell.wait_state(others[0], "surveys", after, "completed", 5)
    record(f"a job that was handed in later had {len(cell.runs(after))} starts")
    if not waiting:
        return None
    return f"LOST: {len(waiting)} of {len(accepted)} accepted jobs had no start for {FINISH_S + IDLE_S} s on an idle fleet"


cells.main(HERE, case)
