"""A side that is stopped again before its runner's next report removes its row,
although tasks still run beside it; a leader that takes over then starts them
elsewhere."""

import asyncio
import os
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins"))
import fleet as f  # noqa: E402

JOB = "00000000000000a1"
RESTART_S = 0.7  # the platform starts a process again after a short delay
LEADER_S = 0.6  # from the first stop of the side to the stop of the leader


async def case(fleet):
    await fleet.open(2, [(["a", f"r1-{i}"], 16000) for i in range(3)], [("/batch/", 0, 2)])
    job = {"spec": '{"ms":[25000]}',
           "steps": [{"count": 3, "cpu": 6000, "memMb": 1000, "estimateMs": 25000}]}
    await fleet.accept("/batch/" + JOB, job)

    async def all_run():
        return len(fleet.starts(JOB)) >= 3

    await fleet.until(10, all_run, "all tasks run")
    await asyncio.sleep(2)
    if fleet.trouble:
        await trouble(fleet)
    await asyncio.sleep(14)
    found = fleet.overlaps(JOB)
    for task, starts in found.items():
        for at, runner, run, others in starts:
            fleet.record(f"TWICE: {task} run {run} starts on {runner} at "
                         f"{at - fleet.record.start:.3f} while it runs as {sorted(others)}")
    return bool(found)


async def trouble(fleet):
    """roll_term only: one side is restarted twice, the leader once."""
    victim = next(i for i, runner in enumerate(fleet.runners) if runner.running)
    side, runner = fleet.sides[victim], fleet.runners[victim]
    leader = fleet.entries[fleet.leader()]
    await asyncio.sleep(max(0, runner.next_beat + 0.1 - f.now()))
    row = fleet.store.row_of_side(side.name)
    side.send(signal.SIGTERM)
    starting = asyncio.create_task(side.restart(RESTART_S))
    await asyncio.sleep(LEADER_S)
    leader.send(signal.SIGTERM)
    leading = asyncio.create_task(leader.restart(RESTART_S))
    await starting

    async def registered():
        return fleet.store.row_of_side(side.name) not in (0, row)

    await fleet.until(5, registered, "the side has written its row again")
    side.send(signal.SIGTERM)
    await asyncio.gather(side.restart(RESTART_S), leading)


f.run(FOLDER, case)
