"""After one failed run, the last attempt of a task waits for a runner that is
full, although the runner on which it failed is sound again and idle."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins"))
import fleet as f  # noqa: E402

WATCH = "00000000000000e0"
QUOTE = "00000000000000e1"
GREY_S = 3.0  # one runner fails what it starts; the site's dose is 6.5 s


async def case(fleet):
    kinds = ["b", "b"] + ["a"] * 10
    await fleet.open(2, [([kind, f"r1-{i}"], 64000) for i, kind in enumerate(kinds)],
                     [("/quote/", 0, 2), ("/watch/", 0, 4)])
    watch = {"spec": '{"ms":[1000000]}', "steps": [
        {"count": 1, "cpu": 60000, "memMb": 1000, "estimateMs": 1000, "requires": "b",
         "longRunning": True}]}
    await fleet.accept("/watch/" + WATCH, watch)

    async def watched():
        return any(runner.running for runner in fleet.runners)

    await fleet.until(10, watched, "the task that lasts runs")
    full = next(i for i, runner in enumerate(fleet.runners) if runner.running)
    idle = fleet.runners[1 - full]
    if fleet.trouble:
        fleet.record(f"{idle.name} fails what it starts, for {GREY_S} s")
        idle.faulty = True
    quote = {"spec": '{"ms":[1000]}', "steps": [
        {"count": 1, "cpu": 8000, "memMb": 1000, "estimateMs": 1000, "requires": "b"}]}
    await fleet.accept("/quote/" + QUOTE, quote)
    await asyncio.sleep(GREY_S)
    idle.faulty = False
    fleet.record(f"{idle.name} is sound")
    await asyncio.sleep(f.FINISH_S)
    lost = True
    for _ in range(4):  # for 3 s
        _, answer = await fleet.get(0, "/quote/" + QUOTE)
        if answer.get("state") in ("completed", "failed") or idle.running:
            lost = False
        await asyncio.sleep(1)
    if lost:
        fleet.record(f"LOST: {QUOTE} has nothing running after one of 2 attempts; {idle.name} "
                     "has all of its 64 cores free, 8 are needed; 60 of 768 cores are in use")
    return lost


f.run(FOLDER, case)
