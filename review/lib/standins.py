"""Stand-ins for the case scripts: state service, cloud, workers and users, on loopback, standard library only.

They follow the protocol's page. Where the page leaves something open they behave like a sound peer. Every
controller has listeners of its own for the state service and the cloud, and one for each other controller that
talks to it, so that a script can refuse, cut or delay what a single controller sends.
"""
import json, os, random, re, shutil, signal, socket, struct, subprocess, sys, tempfile, threading, time

START = time.monotonic()


def now():
    return time.monotonic() - START


# ---------------------------------------------------------------- CBOR
def _head(major, n):
    if n < 24:
        return bytes([major << 5 | n])
    for size, code, fmt in ((1, 24, '>B'), (2, 25, '>H'), (4, 26, '>I'), (8, 27, '>Q')):
        if n < 1 << (8 * size):
            return bytes([major << 5 | code]) + struct.pack(fmt, n)
    raise ValueError(n)


def enc(v):
    if v is None:
        return b'\xf6'
    if v is True:
        return b'\xf5'
    if v is False:
        return b'\xf4'
    if isinstance(v, int):
        return _head(0, v) if v >= 0 else _head(1, -1 - v)
    if isinstance(v, float):
        return b'\xfb' + struct.pack('>d', v)
    if isinstance(v, str):
        b = v.encode()
        return _head(3, len(b)) + b
    if isinstance(v, (list, tuple)):
        return _head(4, len(v)) + b''.join(enc(x) for x in v)
    if isinstance(v, dict):
        return _head(5, len(v)) + b''.join(enc(k) + enc(x) for k, x in v.items())
    raise TypeError(type(v))


def _dec(b, i):
    ib = b[i]
    i += 1
    major, info = ib >> 5, ib & 31
    if major == 7:
        if info in (20, 21):
            return info == 21, i
        if info in (22, 23):
            return None, i
        if info == 25:
            return struct.unpack('>e', b[i:i + 2])[0], i + 2
        if info == 26:
            return struct.unpack('>f', b[i:i + 4])[0], i + 4
        if info == 27:
            return struct.unpack('>d', b[i:i + 8])[0], i + 8
        if info == 31:
            return _BREAK, i
        raise ValueError('simple value')
    if info < 24:
        n = info
    elif info < 28:
        size = 1 << (info - 24)
        n = int.from_bytes(b[i:i + size], 'big')
        i += size
    elif info == 31:
        n = None
    else:
        raise ValueError('length')
    if major == 0:
        return n, i
    if major == 1:
        return -1 - n, i
    if major in (2, 3):
        if n is None:
            out = b''
            while True:
                v, i = _dec(b, i)
                if v is _BREAK:
                    return out.decode(), i
                out += v.encode()
        return (b[i:i + n].decode() if major == 3 else b[i:i + n]), i + n
    if major == 4:
        out = []
        while n is None or len(out) < n:
            v, i = _dec(b, i)
            if v is _BREAK:
                break
            out.append(v)
        return out, i
    if major == 5:
        out = {}
        count = 0
        while n is None or count < n:
            k, i = _dec(b, i)
            if k is _BREAK:
                break
            out[k], i = _dec(b, i)
            count += 1
        return out, i
    return _dec(b, i)  # a tag: its content


_BREAK = object()


def dec(b):
    return _dec(b, 0)[0] if b else None


# ---------------------------------------------------------------- record
class Record:
    """What was sent, answered and run, in order of time."""

    def __init__(self, path):
        self.f = open(path, 'w')
        self.lock = threading.Lock()

    def __call__(self, *words):
        line = '%8.3f  %s' % (now(), ' '.join(str(w) for w in words))
        with self.lock:
            self.f.write(line + '\n')
            self.f.flush()


# ---------------------------------------------------------------- HTTP
REASONS = {200: 'OK', 201: 'Created', 400: 'Bad Request', 404: 'Not Found', 409: 'Conflict', 410: 'Gone',
           429: 'Too Many Requests', 503: 'Service Unavailable'}
DROP = 'drop'  # a handler's answer: say nothing and keep the connection


def read_message(f):
    first = f.readline()
    if not first:
        return None
    headers = {}
    while True:
        line = f.readline()
        if not line:
            return None
        if line in (b'\r\n', b'\n'):
            break
        k, _, v = line.partition(b':')
        headers[k.strip().lower().decode()] = v.strip().decode()
    n = int(headers.get('content-length', 0))
    body = f.read(n) if n else b''
    if len(body) < n:
        return None
    return first.decode().split(None, 2), headers, body


def close_hard(s):
    try:
        s.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass
    s.close()


class Server:
    """One listener. `handler(method, path, value)` returns (status, value) or DROP."""

    def __init__(self, handler):
        self.handler = handler
        self.sock = socket.socket()
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.sock.bind(('127.0.0.1', 0))
        self.sock.listen(128)
        self.addr = '127.0.0.1:%d' % self.sock.getsockname()[1]
        self.conns = set()
        self.closed = False
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while not self.closed:
            try:
                s, _ = self.sock.accept()
            except OSError:
                return
            self.conns.add(s)
            threading.Thread(target=self._serve, args=(s,), daemon=True).start()

    def _serve(self, s):
        try:
            s.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            f = s.makefile('rb')
            while True:
                m = read_message(f)
                if m is None:
                    return
                (method, path, _), headers, body = m
                answer = self.handler(method, path, dec(body))
                if answer is DROP:
                    continue
                status, value = answer
                out = enc(value) if value is not None else b''
                head = 'HTTP/1.1 %d %s\r\nContent-Type: application/cbor\r\nContent-Length: %d\r\n\r\n' % (
                    status, REASONS.get(status, 'Other'), len(out))
                s.sendall(head.encode() + out)
        except (OSError, ValueError):
            pass
        finally:
            self.conns.discard(s)
            close_hard(s)

    def close(self):
        self.closed = True
        close_hard(self.sock)
        for s in list(self.conns):
            close_hard(s)


class Conn:
    """A client's connection, kept open until it fails."""

    def __init__(self, addr):
        self.addr = addr
        self.sock = None

    def close(self):
        if self.sock:
            close_hard(self.sock)
            self.sock = None

    def call(self, method, path, value=None, limit=4.0, raw=None):
        """Returns (status, value), or None if there was no answer in time."""
        body = raw if raw is not None else (enc(value) if value is not None else b'')
        head = '%s %s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/cbor\r\nContent-Length: %d\r\n\r\n' % (
            method, path, self.addr, len(body))
        try:
            if self.sock is None:
                host, port = self.addr.split(':')
                self.sock = socket.create_connection((host, int(port)), timeout=limit)
                self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.sock.settimeout(limit)
            self.sock.sendall(head.encode() + body)
            m = read_message(self.sock.makefile('rb'))
            if m is None:
                self.close()
                return None
            first, headers, body = m
            if 'close' in headers.get('connection', '').lower():
                self.close()
            return int(first[1]), dec(body)
        except (OSError, ValueError):
            self.close()
            return None


# ---------------------------------------------------------------- proxy
class Proxy:
    """Forwards connections to an address. Modes: pass, hold (packets wait and arrive later), drop (connections
    hang), refuse (new connections are closed at once)."""

    def __init__(self, target):
        self.target = target
        self.mode = 'pass'
        self.delay = 0.0
        self.sock = socket.socket()
        self.sock.bind(('127.0.0.1', 0))
        self.sock.listen(128)
        self.addr = '127.0.0.1:%d' % self.sock.getsockname()[1]
        self.conns = set()
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                s, _ = self.sock.accept()
            except OSError:
                return
            if self.mode == 'refuse':
                s.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0))
                s.close()
                continue
            threading.Thread(target=self._open, args=(s,), daemon=True).start()

    def _open(self, s):
        while self.mode in ('hold', 'drop'):
            time.sleep(0.02)
        host, port = self.target.split(':')
        try:
            t = socket.create_connection((host, int(port)), timeout=5)
            t.settimeout(None)
        except OSError:
            close_hard(s)
            return
        self.conns |= {s, t}
        for a, b in ((s, t), (t, s)):
            threading.Thread(target=self._pump, args=(a, b), daemon=True).start()

    def _pump(self, a, b):
        try:
            while True:
                data = a.recv(65536)
                if self.delay:
                    time.sleep(self.delay)
                while self.mode in ('hold', 'drop'):
                    time.sleep(0.02)
                if not data:
                    break
                b.sendall(data)
        except OSError:
            pass
        self.conns -= {a, b}
        close_hard(a)
        close_hard(b)

    def reset(self):
        for s in list(self.conns):
            close_hard(s)


# ---------------------------------------------------------------- state service
class Store:
    def __init__(self, rec, rps=200.0, write_rps=80.0, value_kb=8.0, txn_ops=32):
        self.rec, self.rps, self.write_rps = rec, rps, write_rps
        self.value_bytes, self.txn_ops = int(value_kb * 1024), txn_ops
        self.lock = threading.Condition()
        self.keys, self.log, self.rev = {}, [], 1
        self.leases, self.next_lease = {}, 1
        self.outage = False
        self.refused = set()      # names of controllers that get 503
        self.latency = 0.002
        self.req = [rps, now()]
        self.wr = [write_rps, now()]
        self.late = None          # hook: (name, txn) -> None or (delay_s, answered)
        threading.Thread(target=self._expire, daemon=True).start()

    def server(self, name):
        return Server(lambda m, p, v: self.handle(name, m, p, v))

    def _take(self, bucket, rate, n):
        t = now()
        bucket[0] = min(rate, bucket[0] + (t - bucket[1]) * rate)
        bucket[1] = t
        if bucket[0] < n:
            return False
        bucket[0] -= n
        return True

    def down(self, name):
        return self.outage or name in self.refused

    def set_outage(self, on):
        with self.lock:
            self.outage = on
            if not on:
                for lease in self.leases.values():
                    lease['end'] = now() + lease['ttl']
            self.lock.notify_all()

    def _expire(self):
        while True:
            time.sleep(0.02)
            with self.lock:
                if self.outage:
                    continue
                t = now()
                for i in [i for i, l in self.leases.items() if l['end'] + 0.03 < t]:
                    self._end_lease(i)

    def _end_lease(self, i):
        del self.leases[i]
        gone = [k for k, e in self.keys.items() if e[2] == i]
        if gone:
            self.rev += 1
            for k in gone:
                del self.keys[k]
                self.log.append((self.rev, k, None))
                self.rec('state: lease ended,', k, 'removed')
            self.lock.notify_all()

    def handle(self, name, method, path, v):
        time.sleep(self.latency)
        path, _, query = path.partition('?')
        q = dict(x.partition('=')[::2] for x in query.split('&') if x)
        with self.lock:
            if self.down(name):
                return 503, {'error': 'trouble'}
            if not self._take(self.req, self.rps, 1):
                return 429, {'error': 'rate'}
            if path == '/changes':
                return self._changes(name, q)
            if path == '/keys':
                return self._list(q)
            if path.startswith('/keys/'):
                e = self.keys.get(path[6:])
                if not e:
                    return 404, {'Epoch': self.rev}
                return 200, {'Path': path[6:], 'V': e[0], 'Stamp': e[1], 'Tenancy': e[2]}
            if path == '/leases':
                i = self.next_lease
                self.next_lease += 1
                self.leases[i] = {'ttl': v['TtlMs'] / 1000.0, 'end': now() + v['TtlMs'] / 1000.0}
                return 200, {'Tenancy': i}
            if path.startswith('/leases/'):
                parts = path.split('/')
                i = int(parts[2])
                if i not in self.leases:
                    return 404, {'error': 'no such lease'}
                if method == 'DELETE':
                    self._end_lease(i)
                else:
                    self.leases[i]['end'] = now() + self.leases[i]['ttl']
                return 200, {}
            if path == '/multi':
                late = self.late and self.late(name, v)
                if late:
                    delay, answered = late
                    if delay:
                        threading.Timer(delay, self._apply_late, (name, v)).start()
                        return DROP
                    self._multi(name, v)
                    return DROP
                return self._multi(name, v)
        return 400, {'error': 'path'}

    def _apply_late(self, name, v):
        with self.lock:
            self.rec('state: late transaction of', name, self._multi(name, v)[0])

    def _multi(self, name, v):
        apply = v.get('Apply') or []
        if apply and not self._take(self.wr, self.write_rps, len(apply)):
            return 429, {'error': 'rate'}
        if len(apply) > self.txn_ops or len(v.get('Guards') or []) > 4 * self.txn_ops:
            return 400, {'error': 'too many'}
        if len(json.dumps(v)) > 65536 or any(
                'V' in c and len(json.dumps(c['V'])) > self.value_bytes for c in apply):
            self.rec('state: refused a transaction of', name, 'as too large')
            return 400, {'error': 'too large'}
        for c in apply:
            if c.get('Tenancy') is not None and c['Tenancy'] not in self.leases:
                return 400, {'error': 'no such lease'}
        failed = [g['Path'] for g in v.get('Guards') or []
                  if (self.keys[g['Path']][1] if g['Path'] in self.keys else 0) != g['Stamp']]
        if failed:
            return 409, {'failed': failed, 'Epoch': self.rev}
        if apply:
            self.rev += 1
            for c in apply:
                if 'Set' in c:
                    self.keys[c['Set']] = (c['V'], self.rev, c.get('Tenancy'))
                    self.log.append((self.rev, c['Set'], c['V']))
                    if c['Set'] in ('lead', 'term') or c['Set'][:2] in ('j/', 'd/', 'm/', 'n/'):
                        self.rec('state:', name, 'set', c['Set'], json.dumps(c['V'])[:300])
                elif c['Drop'] in self.keys:
                    del self.keys[c['Drop']]
                    self.log.append((self.rev, c['Drop'], None))
            del self.log[:-10000]
            self.lock.notify_all()
        return 200, {'Epoch': self.rev}

    def _list(self, q):
        keys = sorted(k for k in self.keys if k.startswith(q.get('Starts', '')) and k > q.get('After', ''))
        limit = min(int(q.get('Limit', 1000)), 1000)
        items, size = [], 0
        for k in keys[:limit]:
            e = self.keys[k]
            size += len(json.dumps(e[0])) + len(k)
            if size > 512 * 1024:
                break
            items.append({'Path': k, 'V': e[0], 'Stamp': e[1]})
        return 200, {'Items': items, 'Truncated': len(items) < len(keys), 'Epoch': self.rev}

    def _changes(self, name, q):
        after, start = int(q.get('After', 0)), q.get('Starts', '')
        until = now() + min(int(q.get('WaitMs', 0)), 60000) / 1000.0
        if len(self.log) == 10000 and self.log[0][0] > after + 1:
            return 410, {'error': 'too old'}
        while True:
            if not self.down(name):
                news = [e for e in self.log if e[0] > after and e[1].startswith(start)]
                if news or now() >= until:
                    return 200, {'Epoch': self.rev, 'News': [
                        {'Set': k, 'V': val, 'Stamp': r} if val is not None else {'Drop': k, 'Stamp': r}
                        for r, k, val in news]}
            self.lock.wait(0.05 if self.down(name) else max(0.001, min(until - now(), 1.0)))


# ---------------------------------------------------------------- cloud
class Cloud:
    """`flavors` as in GET /flavors; `capacity` maps (type, zone, cheap) to how many machines there are."""

    def __init__(self, rec, site, flavors, capacity, rps=8.0, lag=6.0):
        self.rec, self.site, self.flavors, self.capacity = rec, site, flavors, dict(capacity)
        self.lock = threading.RLock()
        self.machines, self.hires, self.next = {}, {}, 1
        self.outage = False
        self.lag = lag
        self.rps = rps
        self.bucket = [2 * rps, now()]
        self.snaps = []
        self.boot = lambda sku: 1.5     # seconds until a machine is up; None: never
        threading.Thread(target=self._snap, daemon=True).start()

    def server(self, name):
        return Server(lambda m, p, v: self.handle(name, m, p, v))

    def _snap(self):
        while True:
            with self.lock:
                view = [dict(Ref=m['id'], Endpoint=m['endpoint'], Hull=m['type'], Yard=m['zone'], Loaners=m['spot'],
                             Stage=m['stage'], HeldS=now() - m['since']) for m in self.machines.values()]
                self.snaps.append((now(), sorted(view, key=lambda x: x['Ref'])))
                self.snaps = [s for s in self.snaps if s[0] > now() - self.lag - 3]
            time.sleep(0.5)

    def add(self, type, zone, spot, up_in):
        with self.lock:
            i = 'n-%06d' % self.next
            self.next += 1
            w = Worker(self.rec, self.site, i, type, zone, spot)
            self.machines[i] = dict(id=i, endpoint=w.endpoint, type=type, zone=zone, spot=spot, stage='starting',
                                    since=now(), worker=w)
        if up_in is not None:
            def up():
                with self.lock:
                    if i in self.machines:
                        self.machines[i]['stage'] = 'running'
                        w.start()
            if up_in:
                threading.Timer(up_in, up).start()
            else:
                up()
        return i

    def take(self, i):
        """A machine is gone with all that is on it, and the cloud does not list it any more."""
        with self.lock:
            m = self.machines.pop(i, None)
        if m:
            self.rec('cloud: takes', i, 'back')
            m['worker'].stop('taken')

    def fail(self, i):
        """A machine stops by itself: listed as running for some 30 s more, then as failed."""
        m = self.machines.get(i)
        if m:
            self.rec('cloud:', i, 'stops by itself')
            m['worker'].stop('machine died')

            def later():
                m['stage'] = 'failed'
            threading.Timer(30, later).start()

    def handle(self, name, method, path, v):
        time.sleep(0.02)
        path, _, query = path.partition('?')
        q = dict(x.partition('=')[::2] for x in query.split('&') if x)
        with self.lock:
            t = now()
            self.bucket[0] = min(2 * self.rps, self.bucket[0] + (t - self.bucket[1]) * self.rps)
            self.bucket[1] = t
            if self.outage:
                if path == '/machines' and method == 'POST':
                    self.rec('cloud: 503 trouble to', name, json.dumps(v))
                return 503, {'error': 'trouble'}
            if self.bucket[0] < 1:
                return 429, {'error': 'rate'}
            self.bucket[0] -= 1
            if path == '/flavors':
                return 200, {'Hulls': self.flavors}
            if path == '/machines' and method == 'POST':
                return self._hire(name, v)
            if path == '/machines/return':
                for i in v['Hosts']:
                    m = self.machines.pop(i, None)
                    self.rec('cloud:', name, 'returns', i, '' if m else '(unknown)')
                    if m:
                        key = (m['type'], m['zone'], m['spot'])
                        self.capacity[key] = self.capacity.get(key, 0) + (0 if m['worker'].dead else 1)
                        m['worker'].stop('returned')
                return 200, {}
            if path == '/machines':
                old = [s for s in self.snaps if s[0] <= now() - self.lag]
                view = old[-1][1] if old else []
                items = [x for x in view if x['Ref'] > q.get('After', '')]
                limit = min(int(q.get('Limit', 500)), 500)
                return 200, {'Hosts': items[:limit], 'Truncated': len(items) > limit}
        return 400, {'error': 'path'}

    def _hire(self, name, v):
        if v['Hire'] in self.hires:
            return 200, {'Hosts': self.hires[v['Hire']]}
        key = (v['Hull'], v['Yard'], v['Loaners'])
        n = min(v['Number'], self.capacity.get(key, 0))
        if n <= 0:
            self.rec('cloud: no capacity for', name, json.dumps(v))
            return 503, {'error': 'no capacity'}
        self.capacity[key] -= n
        hosts = [self.add(v['Hull'], v['Yard'], v['Loaners'], self.boot(v['Hull'])) for _ in range(n)]
        self.hires[v['Hire']] = hosts
        self.rec('cloud:', name, 'rents', json.dumps(v), hosts)
        return 200, {'Hosts': hosts}


# ---------------------------------------------------------------- worker
class Worker:
    """One machine's worker. A task runs `site.run_s(piece)` seconds once its image is there."""

    def __init__(self, rec, site, name, type, zone, spot):
        self.rec, self.site, self.name, self.type, self.zone, self.spot = rec, site, name, type, zone, spot
        self.lock = threading.RLock()
        self.tenure, self.tally, self.baton = 1, 0, 0
        self.pieces = {}          # (piece, try) -> dict(stage, since, run, cause)
        self.warning = None
        self.begun = None         # when the session began
        self.answered = None      # when the last answered report was sent
        self.dead = self.stopped = False
        self.hung = False         # the machine hangs
        self.mute = False         # its reports reach no controller
        self.deaf = False         # answers and direct commands do not arrive
        self.changed = threading.Event()
        self.node = random.randrange(len(site.api))
        self.server = Server(self.handle)
        self.endpoint = self.server.addr

    def start(self):
        self.begun = now()
        self.rec('worker', self.name, 'is up:', self.type, self.zone, 'cheap' if self.spot else 'ordinary')
        threading.Thread(target=self._reports, daemon=True).start()
        threading.Thread(target=self._tick, daemon=True).start()

    def stop(self, why):
        with self.lock:
            if self.stopped:
                return
            self.dead = self.dead or why != 'returned'
            self.stopped = True
            self._forget(why)
            self.server.close()

    def _forget(self, why):
        for (piece, attempt), p in list(self.pieces.items()):
            if p['stage'] != 'ended':
                self.site.left(self, piece, attempt, why)
        self.pieces.clear()

    def report(self):
        self.tally += 1
        pieces = []
        for (piece, attempt), p in self.pieces.items():
            d = {'Piece': piece, 'Try': attempt, 'Stage': p['stage']}
            if p.get('cause'):
                d['Cause'] = p['cause']
            if p.get('stored'):
                d['Stored'] = True
            pieces.append(d)
        return {'Host': self.name, 'Endpoint': self.endpoint, 'Hull': self.type, 'Yard': self.zone,
                'Loaners': self.spot, 'Tenure': self.tenure, 'Tally': self.tally, 'Baton': self.baton,
                'WarningS': self.warning, 'Pieces': pieces}

    def free(self):
        hull = [h for h in self.site.flavors if h['Sku'] == self.type][0]
        cpus, mem, gpus = hull['Vcpus'], hull['MemGb'], hull['Accelerators']
        for (piece, _), p in self.pieces.items():
            if p['stage'] != 'ended':
                spec = self.site.jobs[piece.split('/')[0]]
                cpus -= spec['Vcpus']
                mem -= spec['MemGb']
                gpus -= spec['Accelerators']
        return cpus, mem, gpus

    def execute(self, orders):
        for o in orders:
            piece, attempt = o['Piece'], o['Try']
            key = (piece, attempt)
            if o['Verb'] == 'start':
                if key in self.pieces:
                    continue
                job = piece.split('/')[0]
                spec = self.site.jobs.get(job)
                cause = None
                if spec is None or int(piece.split('/')[1]) >= spec['Pieces']:
                    cause = 'unknown'
                elif any(k[0] == piece and p['stage'] != 'ended' for k, p in self.pieces.items()):
                    cause = 'in_use'
                else:
                    cpus, mem, gpus = self.free()
                    if spec['Vcpus'] > cpus + 1e-9 or spec['MemGb'] > mem + 1e-9 or spec['Accelerators'] > gpus + 1e-9:
                        cause = 'no_room'
                if cause:
                    self.pieces[key] = dict(stage='ended', cause=cause)
                else:
                    self.pieces[key] = dict(stage='fetching', until=now() + self.site.fetch_s(job))
                    self.site.starts += 1
                self.rec('worker', self.name, 'start', piece, attempt, cause or '')
                self.changed.set()
            elif o['Verb'] == 'kill':
                p = self.pieces.get(key)
                spec = self.site.jobs.get(piece.split('/')[0])
                if p and p['stage'] == 'running' and spec['BookmarkS'] > 0 and o['LeewayS'] >= spec['StashS']:
                    p.update(stage='flushing', until=now() + spec['StashS'])
                    self.changed.set()
                elif p and p['stage'] != 'ended' and not (p['stage'] == 'flushing' and o['LeewayS'] > 0):
                    self._end(piece, attempt, 'stopped')
            elif o['Verb'] == 'clear':
                p = self.pieces.get(key)
                if p and p['stage'] == 'ended':
                    del self.pieces[key]

    def _end(self, piece, attempt, cause):
        p = self.pieces[(piece, attempt)]
        if p['stage'] != 'fetching':
            self.site.left(self, piece, attempt, cause)
        else:
            self.rec('worker', self.name, 'ended while fetching', piece, attempt, cause)
        p.update(stage='ended', cause=cause)
        self.changed.set()

    def _tick(self):
        while not self.stopped:
            time.sleep(0.02)
            if self.hung:
                continue
            with self.lock:
                if self.stopped:
                    return
                last = max(self.begun, self.answered or 0)
                if now() - last > self.site.lease_s:
                    self.rec('worker', self.name, 'lease ran out; session', self.tenure, 'ends')
                    self._forget('lease')
                    self.tenure += 1
                    self.tally = 0
                    self.begun, self.answered = now(), None
                    self.changed.set()
                for (piece, attempt), p in list(self.pieces.items()):
                    job = piece.split('/')[0]
                    gang = self.site.jobs[job]['Shape'] == 'gang'
                    if p['stage'] == 'fetching' and now() >= p['until']:
                        p.update(stage='waiting' if gang else 'running', since=now())
                        self.site.entered(self, piece, attempt)
                        self.changed.set()
                    elif p['stage'] == 'waiting':
                        if self.site.gang_whole(job, attempt):
                            p.update(stage='running', since=now())
                            self.changed.set()
                        elif now() - p['since'] > self.site.gang_wait_s:
                            self._end(piece, attempt, 'alone')
                    elif p['stage'] == 'flushing':
                        if now() >= p['until']:
                            p['stored'] = True
                            self._end(piece, attempt, 'stopped')
                    elif p['stage'] == 'running' and gang and (job, attempt) in self.site.gangs_done:
                        self.site.done.add(piece)
                        self._end(piece, attempt, 'done')
                    elif p['stage'] == 'running' and gang and not self.site.gang_whole(job, attempt):
                        if now() - p.setdefault('lost', now()) >= self.site.gang_peer_s / 2:
                            self._end(piece, attempt, 'peers')
                    elif p['stage'] == 'running':
                        run = self.site.run_s(piece)
                        if job in self.site.faulty:   # submitted with a mistake: fails on every machine
                            if now() - p['since'] >= 0.5:
                                self.site.errors.setdefault(job, set()).add(self.name)
                                self._end(piece, attempt, 'error')
                        elif run is not None and now() - p['since'] >= run:
                            if gang:  # they complete together
                                self.site.gangs_done.add((job, attempt))
                            self.site.done.add(piece)
                            self._end(piece, attempt, 'done')

    def handle(self, method, path, v):
        while self.hung and not self.stopped:
            time.sleep(0.02)
        if self.deaf or self.stopped:
            return DROP
        with self.lock:
            if path == '/status':
                return 200, self.report()
            if not v or 'Baton' not in v or 'Tenure' not in v:
                return 400, {'error': 'missing'}
            if v['Baton'] < self.baton or v['Tenure'] != self.tenure:
                return 409, self.report()
            if v['Baton'] > self.baton:
                self.baton = v['Baton']
                self.changed.set()
            for o in v.get('Orders') or []:
                self.rec('worker', self.name, 'direct', json.dumps(o))
            self.execute(v.get('Orders') or [])
            return 200, self.report()

    def _reports(self):
        conns = {}
        last_sent = -10.0
        while not self.stopped:
            due = last_sent + self.site.report_s * random.uniform(0.75, 1.25)
            while now() < due and not self.stopped:
                self.changed.wait(max(0.01, min(due - now(), 0.1)))
                if self.changed.is_set() and now() >= last_sent + 0.5:
                    break
                time.sleep(0.01)
            if self.hung:
                time.sleep(0.02)
                continue
            self.changed.clear()
            with self.lock:
                if self.stopped:
                    return
                report = self.report()
            tenure = self.tenure
            sent = last_sent = now()
            if self.mute:
                time.sleep(4.0)
                self.node = (self.node + 1) % len(self.site.api)
                time.sleep(1.0)
                continue
            addr = self.site.api[self.node]
            conn = conns.setdefault(addr, Conn(addr))
            answer = conn.call('POST', '/v1/report', report, 4.0)
            while self.hung and not self.stopped:
                time.sleep(0.02)
            if self.deaf or (answer and now() - sent > 4.0):
                answer = None
                time.sleep(max(0, 4.0 - (now() - sent)))
            with self.lock:
                if self.stopped:
                    return
                if answer and answer[0] == 200:
                    v = answer[1]
                    if v and v.get('Baton', -1) >= self.baton and tenure == self.tenure:
                        self.baton = v['Baton']
                        self.answered = max(self.answered or 0, sent)
                        if report['Baton'] != self.baton:
                            self.changed.set()
                        self.execute(v.get('Orders') or [])
                    continue
            if answer and answer[0] == 421:
                conn.close()
                to = (answer[1] or {}).get('Steward')
                if to in self.site.names and self.site.names.index(to) != self.node:
                    self.node = self.site.names.index(to)
                    last_sent = now() - self.site.report_s * 1.25 + random.uniform(0, 0.5)
                    continue
            if answer is None:
                conn.close()
            self.node = (self.node + 1) % len(self.site.api)
            last_sent = now() - self.site.report_s * 1.25 + 1.0


# ---------------------------------------------------------------- site
class Site:
    """Controllers as separate processes, with state service, cloud and workers."""

    def __init__(self, rec, root, teams, zones, flavors, capacity, nodes=3, report_s=1.5, lease_s=10.0, cancel_s=30.0,
                 state=None, cloud_rps=8.0, list_lag_s=6.0, limits=(0.08, 56.0, 900), objectives=(), peer_proxies=False):
        self.rec, self.root = rec, root
        self.teams, self.zones, self.flavors = teams, zones, flavors
        self.report_s, self.lease_s, self.cancel_s = report_s, lease_s, cancel_s
        self.gang_wait_s, self.gang_peer_s = 35.0, 5.0
        self.state = state or dict(rps=200.0, write_rps=80.0, value_kb=8.0, txn_ops=32)
        self.jobs, self.run, self.done, self.on = {}, {}, set(), {}
        self.violations = []
        self.gangs_done = set()
        self.faulty = set()       # jobs that were submitted with a mistake
        self.errors = {}          # where each of them failed
        self.starts = 0           # start commands that a worker carried out
        self.lock = threading.RLock()
        self.names = ['host-%d' % i for i in range(nodes)]
        self.tmp = tempfile.mkdtemp(prefix='willowshore-review-')
        ports = [self._port() for _ in range(2 * nodes)]
        self.api = ['127.0.0.1:%d' % p for p in ports[:nodes]]
        self.back = ['127.0.0.1:%d' % p for p in ports[nodes:]]
        self.store = Store(rec, **self.state)
        self.cloud = Cloud(rec, self, flavors, capacity, cloud_rps, list_lag_s)
        self.state_servers = [self.store.server(n) for n in self.names]
        self.cloud_servers = [self.cloud.server(n) for n in self.names]
        self.state_proxies = [Proxy(s.addr) for s in self.state_servers]
        self.peer_proxies = {}
        self.procs = [None] * nodes
        self.files = []
        for i, name in enumerate(self.names):
            known = ''
            for j, other in enumerate(self.names):
                if j != i:
                    self.peer_proxies[(i, j)] = Proxy(self.back[j])
                    known += '\n[[known]]\nnode_name = "%s"\nsite = "%s"\naddress = "%s"\n' % (
                        other, zones[j % len(zones)], self.peer_proxies[(i, j)].addr)
            text = 'node_name = "%s"\nsite = "%s"\napi_addr = "%s"\nback = "%s"\n%s' % (
                name, zones[i % len(zones)], self.api[i], self.back[i], known)
            text += '\n[outside]\ncloud = "%s"\nstate = "%s"\n' % (self.cloud_servers[i].addr, self.state_proxies[i].addr)
            text += '\n[params]\nnodes = %d\nzones = %s\ntime_bound_ms = 25.0\n' % (nodes, json.dumps(sorted(zones)))
            for t in teams:
                text += '\n[[params.teams]]\n' + ''.join('%s = %s\n' % (k, json.dumps(x)) for k, x in t.items())
            for o in objectives:
                text += '\n[[params.objectives]]\n' + ''.join('%s = %s\n' % (k, json.dumps(x)) for k, x in o.items())
            text += '\n[params.workers]\nreport_s = %s\nlease_s = %s\ngang_wait_s = 35.0\ngang_peer_s = 5.0\ncancel_s = %s\n' % (
                report_s, lease_s, cancel_s)
            text += '\n[params.state]\n' + ''.join('%s = %s\n' % kv for kv in self.state.items())
            text += '\n[params.cloud]\nrps = %s\nlist_lag_s = %s\n' % (cloud_rps, list_lag_s)
            text += '\n[params.limits]\ncores = %s\nram_mb = %s\nsockets = %d\n' % limits
            path = os.path.join(self.tmp, name + '.toml')
            with open(path, 'w') as f:
                f.write(text)
            self.files.append(path)

    def _port(self):
        s = socket.socket()
        s.bind(('127.0.0.1', 0))
        self._held = getattr(self, '_held', []) + [s]
        return s.getsockname()[1]

    def start(self):
        for s in self._held:
            s.close()
        for i in range(len(self.names)):
            self.start_node(i)

    def start_node(self, i):
        with open(os.path.join(self.root, 'deploy', 'service.toml')) as f:
            run = re.search(r'^run = "([^"]+)"', f.read(), re.M).group(1).split()
        env = dict(os.environ, LOG_LEVEL=os.environ.get('LOG_LEVEL', 'info'))
        log = open(os.path.join(self.tmp, self.names[i] + '.log'), 'a')
        self.procs[i] = subprocess.Popen(run + [self.files[i]], cwd=self.root, env=env, stderr=log, stdout=log)
        self.rec('controller', self.names[i], 'started')

    def kill(self, i):
        self.rec('controller', self.names[i], 'killed')
        self.procs[i].kill()
        self.procs[i].wait()

    def signal(self, i, sig):
        self.rec('controller', self.names[i], 'gets', sig.name)
        self.procs[i].send_signal(sig)

    def close(self):
        for p in self.procs:
            if p and p.poll() is None:
                p.send_signal(signal.SIGCONT)
                p.kill()
                p.wait()
        keep = os.environ.get('KEEP_LOGS')
        if keep:
            shutil.copytree(self.tmp, keep, dirs_exist_ok=True)
        shutil.rmtree(self.tmp, ignore_errors=True)

    def leader(self):
        e = self.store.keys.get('lead')
        return e[0]['node'] if e else None

    def wait_ready(self, limit=20.0):
        """Waits until all nodes are ready and one leads."""
        end = now() + limit
        while now() < end:
            if all((Conn(a).call('GET', '/ready', None, 1.0) or (0,))[0] == 200 for a in self.api) and \
                    self.leader() is not None:
                return True
            time.sleep(0.1)
        return False

    # -- what runs
    def run_s(self, piece):
        if piece in self.done:
            return 0.0
        return self.run.get(piece, self.run.get(piece.split('/')[0], 10.0))

    def fetch_s(self, job):
        return 0.3

    def entered(self, worker, piece, attempt):
        with self.lock:
            others = [w for (w, p, _) in self.on.values() if p == piece and w != worker.name]
            self.on[(worker.name, piece, attempt)] = (worker.name, piece, attempt)
            self.rec('runs', piece, attempt, 'on', worker.name)
            if others:
                self.violations.append('ran_twice %s on %s and %s' % (piece, others[0], worker.name))
                self.rec('RULE ran_twice', self.violations[-1])

    def left(self, worker, piece, attempt, why):
        with self.lock:
            self.on.pop((worker.name, piece, attempt), None)
            self.rec('left', piece, attempt, 'on', worker.name, why)

    def gang_whole(self, job, attempt):
        with self.lock:
            n = sum(1 for (_, p, a) in self.on.values() if p.split('/')[0] == job and a == attempt)
            return n == self.jobs[job]['Pieces']

    # -- users
    def job(self, ref, **fields):
        spec = {'Ref': ref, 'Lane': 'work', 'Owner': self.teams[0]['name'], 'Shape': 'sweep', 'Urgency': 'normal',
                'Pieces': 1, 'Vcpus': 2.0, 'Accelerators': 0.0, 'MemGb': 4.0, 'Bundle': 'img-01', 'SizeGb': 0.5,
                'Hulls': None, 'Yard': None, 'OneZone': False, 'Scatter': False, 'Loaners': True, 'GuessS': 10.0,
                'BookmarkS': 0.0, 'StashS': 0.0, 'DueS': None}
        spec.update(fields)
        return spec

    def ask(self, method, path, value=None, node=None, limit=5.0, quiet=False):
        order = list(range(len(self.api)))
        if node is None:
            random.shuffle(order)
        else:
            order = [node]
        answer = None
        for i in order:
            answer = Conn(self.api[i]).call(method, path, value, limit)
            if answer is not None:
                if not quiet:
                    self.rec('user:', method, path, 'at', self.names[i], '->', answer[0], json.dumps(answer[1]))
                return answer
        if not quiet:
            self.rec('user:', method, path, '-> no answer')
        return answer

    def submit(self, spec, node=None, tries=60):
        """As a user submits: repeated after 1 s until it is accepted or refused for good."""
        self.jobs[spec['Ref']] = spec
        for _ in range(tries):
            a = self.ask('POST', '/api/jobs', spec, node)
            if a and a[0] in (200, 201, 400, 422):
                return a
            time.sleep(1.0)
        return None

    def poll(self, ref, node=None, quiet=False):
        return self.ask('GET', '/api/jobs/' + ref, None, node, 2.0, quiet)

    def abort(self, ref, node=None, tries=60):
        for _ in range(tries):
            a = self.ask('POST', '/api/jobs/%s/abort' % ref, None, node)
            if a and a[0] == 200:
                return a
            time.sleep(1.0)
        return None
