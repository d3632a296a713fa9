"""A queue moves to another service, and the one worker of its former service is taken away."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib-2"))
import cell as cells  # noqa: E402

ZONES = ["tx-austin", "tx-waco", "tx-temple"]
OLD = "crewdesk-old"
NEW = "crewdesk"
CONFIG_APPLY_S = 2
DRAIN_S = 2


async def case(cell, trouble):
    nodes = [("node-%d" % n, zone) for n, zone in enumerate(ZONES)]
    workers = [cells.Worker(cell, "i-%04x" % n, ZONES[n % 3], service=NEW) for n in range(15)]
    workers.append(cells.Worker(cell, "i-old", ZONES[0], service=OLD))
    await cell.open(nodes, workers, [cells.route("quote", 0, NEW), cells.route("survey", 1, OLD)])
    await asyncio.sleep(2)

    lasting = cells.Behaviour(cpu=4000, lasting=True)
    service = await cell.submit("survey", [cells.step(1, 4000, 0, perpetual=True)], lasting)
    long = cells.Behaviour(cpu=4000, work_s=12.0)
    batch = await cell.submit("survey", [cells.step(2, 4000, 12.0)], long)
    await asyncio.sleep(2)
    if len(cell.running(service)) != 1 or len(cell.running(batch)) != 2:
        raise cells.CannotRun("the tasks do not run")

    end = cell.record.now()
    cell.record("end of the traffic; the jobs are", service, "(lasting) and", batch)
    if trouble:
        cell.write_configuration(2, [cells.route("quote", 0, NEW), cells.route("survey", 1, NEW)])
        await asyncio.sleep(CONFIG_APPLY_S + 0.5)
        await workers[-1].leave(DRAIN_S)
    left = cell.record.now()

    # Both rules are looked at when they hold: 6 s after the last run, and 14 s after the traffic.
    service_idle = cells.Idle(cell, service + ".", 4000, under_half=False, service=NEW)
    batch_idle = cells.Idle(cell, batch + ".", 4000, under_half=True, service=NEW)
    if trouble:
        begin = max(end + cells.FINISH_S, left + 6)
        await asyncio.gather(service_idle.watch(left + 6, begin + 16), batch_idle.watch(begin, begin + 16))
    else:
        await asyncio.sleep(cells.FINISH_S)
    state = await cell.state(cell.nodes[0], "survey", batch)
    service_state = await cell.state(cell.nodes[0], "survey", service)
    cell.record("the batch is", state, "and the service is", service_state)
    broken = []
    if service_idle.longest >= 3:
        broken.append("LOST: the task of %s, which lasts, was not running from %.1f to %.1f s after its last "
                      "run, with room for it twice over" % (service, service_idle.window[0] - left,
                                                            service_idle.window[1] - left))
    if batch_idle.longest >= 3 and state != "completed":
        broken.append("LOST: %.1f s after the end of the traffic the accepted job %s (%s) has had nothing running "
                      "for %.1f s, with room for it twice over and at most %.0f%% of the capacity in use"
                      % (batch_idle.window[1] - end, batch, state, batch_idle.longest, batch_idle.max_used * 100))
    if not trouble and (state != "completed" or len(cell.running(service)) != 1):
        broken.append("LOST: without trouble, the batch is %s" % state)
    return broken


sys.exit(cells.main(case))
