"""A job that has begun is left waiting beside a machine that is kept for gangs. See claim.txt."""
import os, signal, sys, threading, time, traceback

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, '..', 'lib'))
from standins import Record, Site, now  # noqa: E402

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
END_S = float(os.environ.get('END_S', '115'))
BOUND_S = 90.0  # "no job is left waiting for 90 s"

FLAVORS = [
    dict(Sku='kleine-bak', Vcpus=8.0, Accelerators=0.0, MemGb=64.0, LocalGb=70.0, FetchGbPerS=0.3, Hourly=0.71,
         MarketPrice=0.18, StartupS=40.0, Yards=['schelde', 'leie']),
    dict(Sku='grote-bak', Vcpus=64.0, Accelerators=0.0, MemGb=256.0, LocalGb=60.0, FetchGbPerS=0.4, Hourly=4.5,
         MarketPrice=1.19, StartupS=35.0, Yards=['schelde', 'leie']),
]
TEAMS = [dict(name=n, cpus=0.0, cpus_max=0.0, gpus=0.0, gpus_max=0.0) for n in ('tarieven', 'schadeteam', 'incasso')]
JOB = 'wk-000001'


def main():
    rec = Record(os.path.join(HERE, 'record.txt'))
    site = Site(rec, os.path.join(HERE, '..', '..'), TEAMS, ['schelde', 'leie'], FLAVORS, {})
    signal.signal(signal.SIGTERM, lambda *_: (site.close(), os._exit(2)))
    try:
        return play(rec, site)
    finally:
        site.close()


def play(rec, site):
    # All machines that the cloud has to give: it refuses further ones with "no capacity".
    kleine = site.cloud.add('kleine-bak', 'schelde', False, 0)
    grote = site.cloud.add('grote-bak', 'leie', False, 0)
    site.start()
    if not site.wait_ready():
        return 2
    time.sleep(1.5)

    def gangs():
        # As "reserve-groep": gangs of 2 tasks of 2 CPUs in one zone that may not use cheap machines.
        for n in range(100, 200):
            ref = 'wk-%06d' % n
            site.run[ref] = 15.0
            site.submit(site.job(ref, Lane='reserve-groep', Owner='schadeteam', Shape='gang', Pieces=2, Vcpus=2.0,
                                 MemGb=6.4, Loaners=False, OneZone=True, GuessS=20.0, BookmarkS=20.0, StashS=2.0,
                                 Bundle='img-groep', SizeGb=1.0))
            time.sleep(20)

    threading.Thread(target=gangs, daemon=True).start()
    time.sleep(1.5)
    # As "spoed-reeks": an urgent array whose tasks may run on any machine.
    site.run[JOB + '/0'] = 1.0
    site.run[JOB + '/1'] = 25.0
    answer = site.submit(site.job(JOB, Lane='spoed-reeks', Owner='tarieven', Urgency='high', Pieces=2, Vcpus=2.0,
                                  MemGb=6.2, Loaners=True, GuessS=18.0, Bundle='img-spoed', SizeGb=0.8))
    if not answer or answer[0] != 201:
        return 2
    # The job has begun: its first task is done and on record, its second one runs.
    while now() < 30:
        if any(p == JOB + '/1' for (_, p, _) in site.on.values()) and 'd/' + JOB in site.store.keys:
            break
        time.sleep(0.1)
    else:
        rec('the job did not begin as meant')
        return 2
    at = [w for (w, p, _) in site.on.values() if p == JOB + '/1'][0]
    rec('second task is on', at)
    if TROUBLE:
        if at != kleine:
            rec('the task is on the other machine: the case can not run')
            return 2
        site.cloud.fail(kleine)
        while kleine in site.cloud.machines:  # until the controllers have given it back, which proves it gone
            if now() > 60:
                return 2
            time.sleep(0.1)
        rec('trouble over: the machine is gone')
    waiting = None  # since when the job waits while the other machine is up and has room
    worker = site.cloud.machines[grote]['worker']
    polled = 0.0
    while now() < END_S:
        time.sleep(0.2)
        if grote not in site.cloud.machines:
            rec('the other machine was given back')
            return 2
        if now() - polled > 5:
            polled = now()
            state = site.poll(JOB)
            if state and state[0] == 200 and state[1]['Stage'] == 'done':
                rec('the job is done')
                return 0
        with worker.lock:
            cpus, mem, _ = worker.free()
            heard = worker.answered is not None and now() - worker.answered < 5.0
            started = any(p.startswith(JOB + '/') and x['stage'] != 'ended' for (p, _), x in worker.pieces.items())
        if started or not heard or cpus < 2.0 or mem < 6.2 or any(p.startswith(JOB) for (_, p, _) in site.on.values()):
            waiting = None
        elif waiting is None:
            waiting = now()
            rec('the job waits; the other machine is heard and has', cpus, 'CPUs and', mem, 'GB free')
        elif now() - waiting >= BOUND_S:
            rec('RULE left waiting: %s has waited for %.1f s while a machine that fits has room (%.0f CPUs, %.0f GB)' % (
                JOB, now() - waiting, cpus, mem))
            return 1
    rec('end:', 'the job has waited for %.1f s' % (now() - waiting) if waiting else 'the job does not wait')
    return 0


if __name__ == '__main__':
    try:
        code = main()
    except BaseException:  # an error of the script is no broken rule
        traceback.print_exc()
        code = 2
    print('case 1:', {0: 'held', 1: 'broken', 2: 'could not run'}[code])
    sys.stdout.flush()
    os._exit(code)
