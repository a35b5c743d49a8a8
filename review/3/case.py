"""One urgent submission for which no runner is left holds up all work of lower
priority, on runners that are idle."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins"))
import fleet as f  # noqa: E402

URGENT = "00000000000000c0"
BATCH = [f"00000000000000d{i}" for i in range(5)]


async def case(fleet):
    labels = [["b" if i == 0 else "a", f"r1-{i}"] for i in range(8)]
    await fleet.open(2, [(own, 64000) for own in labels],
                     [("/urgent/", 0, 2), ("/batch/", 2, 4)])
    if fleet.trouble:
        fleet.runners[0].crash()  # one of eight; it is lost for good
        await asyncio.sleep(4)
    urgent = {"spec": '{"ms":[500]}', "steps": [
        {"count": 1, "cpu": 1000, "memMb": 100, "estimateMs": 500, "requires": "b"}]}
    await fleet.accept("/urgent/" + URGENT, urgent)
    await asyncio.sleep(1)
    batch = {"spec": '{"ms":[1000]}',
             "steps": [{"count": 4, "cpu": 2000, "memMb": 100, "estimateMs": 1000}]}
    for job in BATCH:
        await fleet.accept("/batch/" + job, batch)
    await asyncio.sleep(f.FINISH_S)
    lost = {job for job in BATCH if not any(r[3].startswith(job) for r in fleet.runs)}
    for _ in range(4):  # for 3 s: nothing runs, all runners but one are idle
        for job in list(lost):
            _, answer = await fleet.get(0, "/batch/" + job)
            if answer.get("state") == "completed" or fleet.starts(job):
                lost.discard(job)
        if any(runner.running for runner in fleet.runners):
            lost.clear()
        await asyncio.sleep(1)
    for job in sorted(lost):
        fleet.record(f"LOST: {job} has nothing running; 7 runners of 64 cores are idle")
    return bool(lost)


f.run(FOLDER, case)
