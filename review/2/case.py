"""A cancellation is acknowledged with 410 while a write of the submission is
still open; the write takes effect later and the cancelled work runs."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins"))
import fleet as f  # noqa: E402

JOB = "00000000000000b1"
AWAY_S = 4.0  # the store doesn't answer one machine; the site's dose is 9 s
LATE_S = 4.0  # an unanswered write is performed so much later, "seconds"


async def case(fleet):
    await fleet.open(3, [(["a", f"r1-{i}"], 16000) for i in range(3)], [("/pay/", 0, 2)])
    front = next(i for i in range(3) if i != fleet.leader())
    other = next(i for i in range(3) if i not in (front, fleet.leader()))
    late = {"done": None}
    if fleet.trouble:
        turn_away(fleet, fleet.entries[front].name, late)
    job = {"spec": '{"ms":[2500,2500,2500,2500]}',
           "steps": [{"count": 2, "cpu": 1000, "memMb": 100, "estimateMs": 2500,
                      **({"after": [i - 1]} if i else {})} for i in range(4)]}
    status = await fleet.post(front, "/pay/" + JOB, job)
    await fleet.get(other, "/pay/" + JOB)
    if await fleet.delete(other, "/pay/" + JOB) not in (200, 410):
        raise f.NotRun("the cancelling was not acknowledged")
    acknowledged = f.now()
    await asyncio.sleep(18)
    await fleet.get(other, "/pay/" + JOB)
    if fleet.trouble and late["done"] is None:
        raise f.NotRun("no write was performed late")
    # The core counts as stable contactMs after the last trace of its impairment.
    stable = max(acknowledged + f.CANCEL_S, (late["done"] or 0) + f.CONTACT_S)
    broken = [run for run in fleet.starts(JOB) if run[1] > stable]
    for _, at, runner, task, run, _ in broken:
        fleet.record(f"UNASKED: {task} run {run} starts on {runner} {at - acknowledged:.1f} s after "
                     f"the acknowledgement of its cancelling (POST {status})")
    return bool(broken)


def turn_away(fleet, machine, late):
    """The store doesn't answer the machine; the first write of the submission
    that reaches it is performed LATE_S later."""
    end = f.now() + AWAY_S
    row = "j/" + JOB

    async def policy(request):
        if f.now() >= end:
            return
        body = request.json()
        if row in [put["key"] for put in body.get("put", [])] and "task" not in late:
            fleet.record(f"the store gets a write of {row}, doesn't answer, and performs it later")
            late["task"] = asyncio.create_task(perform(body))
        raise f.NoAnswer

    async def perform(body):
        await asyncio.sleep(LATE_S)
        status, _ = fleet.store.apply(body)
        late["done"] = f.now()
        fleet.record(f"the store performs the late write of {row}: {status}")

    fleet.record(f"the store answers {machine} no more, for {AWAY_S} s")
    fleet.policies[machine] = policy


f.run(FOLDER, case)
