"""One hopeless job locks all workers that also run a service: no later job ever starts."""

import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lib"))
import cell as cells  # noqa: E402

WORKERS = 6
FINISH_S = 14  # bound `finish_s`
IDLE_S = 3  # rule LOST: "for 3 s, a job has nothing running"
ROUTES = [("shops", {"priority": 0}), ("invoices", {"priority": 1, "max_attempts": 4})]


def step(count, cpu, est_ms, **more):
    return {"count": count, "cpu": cpu, "mem_mb": 256, "est_duration_ms": est_ms, **more}


async def case(cell, record, trouble):
    await cell.start("abc", WORKERS, ROUTES)
    first = cell.nodes[0]

    # A service: two tasks on each worker, which run until it is cancelled.
    service = cells.job("lasts", [step(2 * WORKERS, 2000, 1000, perpetual=True, anti_affinity=2)])
    if await cell.submit(first, "shops", service) != 200:
        raise cells.CannotRun("the service was not accepted")

    async def all_up():
        return cell.running(service) == 2 * WORKERS

    await cell.until(all_up, 15, "the service runs on all workers")

    # 19 ordinary jobs and, with the disruption, one that can never be done: a share of 0.05.
    ordinary = [cells.job("work=300", [step(2, 1000, 300)]) for _ in range(19)]
    for name in ordinary:
        if await cell.submit(first, "invoices", name) != 200:
            raise cells.CannotRun("an ordinary job was not accepted")
    for name in ordinary:
        if (await cell.wait_state(first, "invoices", name, "completed", 10))[1] != "completed":
            raise cells.CannotRun("an ordinary job was not completed before the disruption")
    if trouble:
        hopeless = cells.job("fail=100", [step(24, 4000, 1000)])
        if await cell.submit(first, "invoices", hopeless) != 200:
            raise cells.CannotRun("the hopeless job was not accepted")
        await asyncio.sleep(6)
        await cell.state(first, "invoices", hopeless)

    # The next ordinary job, and the end of the traffic.
    late = cells.job("work=300", [step(2, 1000, 300)])
    if await cell.submit(first, "invoices", late) != 200:
        raise cells.CannotRun("the last job was not accepted")
    await asyncio.sleep(FINISH_S)
    started = time.monotonic()
    most_used = 0
    while time.monotonic() - started < IDLE_S:
        if cell.running(late) or (await cell.state(first, "invoices", late))[1] == "completed":
            return None
        most_used = max(most_used, sum(worker.used_cpu() for worker in cell.workers))
        await asyncio.sleep(0.2)
    room = sum(worker.cpu for worker in cell.workers)
    record(f"in use: {most_used} of {room} thousandths of a core; starts of the last job: {len(cell.runs(late))}")
    if 2 * most_used >= room:
        return None
    return f"LOST: for {FINISH_S + IDLE_S} s nothing of job {late} ran, with {most_used} of {room} in use"


cells.main(HERE, case)
