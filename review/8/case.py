"""A controller loses the state service and the other controllers; jobs are cancelled through another one."""
import asyncio
import sys
import time
from pathlib import Path

sys.dont_write_bytecode = True
sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-2"))
from world import CannotRun, World, Site, play

CUT_S = 30.0
# An order to start that crosses the cancellation's answer is excused; only answers to reports count that a worker
# sent so much later than the user had the answer.
MARGIN_S = 0.1


async def case(world, trouble):
    cancelled = {}  # job -> when its user was told that it is cancelled
    late = []

    def answered(worker, sent, answer):
        for order in answer.get("Orders", []):
            job = order["Piece"].partition("/")[0]
            if order["Verb"] == "start" and job in cancelled and sent > cancelled[job] + MARGIN_S:
                late.append((worker, order["Piece"], sent - cancelled[job]))
                world.log(f"{worker.name}: told to start {order['Piece']} {sent - cancelled[job]:.2f} s after its "
                          f"user was told that the job is cancelled")

    # A job that is over brings the image to the machines.
    await world.submit(world.job(1, 48, 2.0, 6.2, 2.0))
    await world.until(lambda: len(world.results) == 48, 40, "the first job is over")
    await asyncio.sleep(3)
    leader = world.store.leader()
    # The busiest controller other than the leader, by the workers that report to it.
    workers = [w for w in world.cloud.machines.values() if hasattr(w, "node")]
    counts = {n: sum(w.node == n for w in workers) for n in range(3) if n != leader}
    away = max(counts, key=counts.get)
    through = next(n for n in range(3) if n not in (leader, away))
    if counts[away] == 0:
        raise CannotRun("no worker reports to a controller other than the leader")
    world.answered = answered
    jobs = []
    for number in range(2, 5):
        spec = world.job(number, 16, 2.0, 6.2, 18.0)
        jobs.append(spec["Ref"])
        await world.submit(spec, nodes=[through])
    # The leader grants the tasks; each one starts in the answer to its machine's next report.
    await asyncio.sleep(0.5)
    if trouble:
        world.store.unreachable.add(away)
        world.cut_peers(away, True)
        world.log(f"{world.names[away]} is cut from the state service and the other controllers; "
                  f"{counts[away]} workers report to it")
    cut_at = time.monotonic()
    await asyncio.sleep(0.05)

    async def cancel(ref):
        status, answer = await world.ask(through, "POST", f"/api/jobs/{ref}/abort")
        if status == 200 and answer["Stage"] == "withdrawn":
            cancelled[ref] = time.monotonic()

    await asyncio.gather(*(cancel(ref) for ref in jobs))
    world.log(f"{len(cancelled)} of {len(jobs)} jobs are cancelled")
    if not cancelled:
        raise CannotRun("no job was cancelled")
    await asyncio.sleep(CUT_S - (time.monotonic() - cut_at))
    if trouble:
        world.store.unreachable.discard(away)
        world.cut_peers(away, False)
        world.log("the cut ends")
    await asyncio.sleep(5)
    for run in world.runs:
        job = run[3].partition("/")[0]
        if job in cancelled and (run[1] or time.monotonic()) > cancelled[job] + world.site.cancel_s:
            world.breach(f"{run[3]} is on {run[2].name} more than cancel_s after its user was told")
    if late:
        worker, piece, after = max(late, key=lambda item: item[2])
        world.breach(f"{len(late)} tasks of cancelled jobs were started, {piece} on {worker.name} "
                     f"{after:.2f} s after its user was told that the job is cancelled")


case.build = lambda folder: World(folder, Site(), [("kleine-bak", "schelde"), ("kleine-bak", "leie")] * 6)

if __name__ == "__main__":
    play(case)
