"""A job submitted with a mistake leaves a whole fleet unused for minutes. See claim.txt."""
import os, signal, sys, time, traceback

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, '..', 'lib'))
from standins import Record, Site, now  # noqa: E402

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
END_S = float(os.environ.get('END_S', '115'))
BOUND_S = 90.0  # "no job is left waiting for 90 s"

FLAVORS = [dict(Sku='kleine-bak', Vcpus=8.0, Accelerators=0.0, MemGb=64.0, LocalGb=70.0, FetchGbPerS=0.3, Hourly=0.71,
                MarketPrice=0.18, StartupS=40.0, Yards=['schelde', 'leie'])]
TEAMS = [dict(name=n, cpus=0.0, cpus_max=0.0, gpus=0.0, gpus_max=0.0) for n in ('tarieven', 'schadeteam', 'incasso')]
WRONG, JOB = 'wk-000666', 'wk-000001'


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
    names = [site.cloud.add('kleine-bak', zone, False, 0) for zone in ('schelde', 'leie')]
    workers = [site.cloud.machines[n]['worker'] for n in names]
    site.start()
    if not site.wait_ready():
        return 2
    time.sleep(1.5)

    def urgent(ref, pieces, team):
        # As "spoed-reeks".
        return site.job(ref, Lane='spoed-reeks', Owner=team, Urgency='high', Pieces=pieces, Vcpus=2.0, MemGb=6.2,
                        Loaners=True, GuessS=18.0, Bundle='img-spoed', SizeGb=0.8)

    # 24 sound jobs in all, so that the one with a mistake is 4% of the class.
    for n in range(2, 10):
        site.run['wk-%06d' % n] = 1.0
        site.submit(urgent('wk-%06d' % n, 1, 'schadeteam'))
    while now() < 9.0 and not all('wk-%06d/0' % n in site.done for n in range(2, 10)):
        time.sleep(0.1)
    time.sleep(1.5)
    if TROUBLE:
        rec('trouble:', WRONG, 'is submitted with a mistake')
        site.faulty.add(WRONG)
        answer = site.submit(urgent(WRONG, 14, 'incasso'))
        if not answer or answer[0] != 201:
            return 2
        # Its user sees it fail on both machines, and cancels it.
        while len(site.errors.get(WRONG, ())) < 2 and now() < 22.0:
            time.sleep(0.1)
        time.sleep(1.0)
        answer = site.abort(WRONG)
        if not answer or answer[1]['Stage'] != 'withdrawn':
            return 2
        rec('trouble over:', WRONG, 'is cancelled; it failed on', sorted(site.errors.get(WRONG, ())))
    else:
        time.sleep(10.0)
    site.run[JOB] = 5.0
    answer = site.submit(urgent(JOB, 1, 'tarieven'))
    if not answer or answer[0] != 201:
        return 2
    for n in range(10, 25):
        site.run['wk-%06d' % n] = 1.0
        site.submit(urgent('wk-%06d' % n, 1, 'schadeteam'))
    waiting = None  # since when the job waits while a machine that fits is up and has room
    polled = 0.0
    while now() < END_S:
        time.sleep(0.2)
        if now() - polled > 5:
            polled = now()
            state = site.poll(JOB)
            if state and state[0] == 200 and state[1]['Stage'] == 'done':
                rec('the job is done')
                return 0
        started, room = False, []
        for w in workers:
            if w.name not in site.cloud.machines:
                continue
            with w.lock:
                cpus, mem, _ = w.free()
                started |= any(p.startswith(JOB + '/') and x['stage'] != 'ended' for (p, _), x in w.pieces.items())
                if w.answered is not None and now() - w.answered < 5.0 and cpus >= 2.0 and mem >= 6.2:
                    room.append('%s (%.0f CPUs)' % (w.name, cpus))
        if started or not room:
            waiting = None
        elif waiting is None:
            waiting = now()
            rec('the job waits; machines that are heard and have room:', *room)
        elif now() - waiting >= BOUND_S:
            rec('RULE left waiting: %s has waited for %.1f s; machines that fit and have room: %s' % (
                JOB, now() - waiting, ', '.join(room)))
            return 1
    rec('end:', 'the job has waited for %.1f s' % (now() - waiting) if waiting else 'the job does not wait')
    return 0


if __name__ == '__main__':
    try:
        code = main()
    except BaseException:  # an error of the script is no broken rule
        traceback.print_exc()
        code = 2
    print('case 3:', {0: 'held', 1: 'broken', 2: 'could not run'}[code])
    sys.stdout.flush()
    os._exit(code)
