"""A small deployment on loopback: real controllers, and stand-ins for everything around them."""
import asyncio
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
from pathlib import Path

import net
from machines import Cloud, Worker
from state import State

ROOT = Path(__file__).resolve().parents[2]


class Site:
    """Settings like those of the premium runs (Verhaegen), unless a case changes them."""

    nodes = 3
    zones = ["schelde", "leie"]
    report_s, lease_s, cancel_s = 1.5, 10.0, 30.0
    state = {"rps": 200.0, "write_rps": 80.0, "value_kb": 8.0, "txn_ops": 32}
    cloud = {"rps": 8.0, "list_lag_s": 6.0}
    limits = {"cores": 0.08, "ram_mb": 56.0, "sockets": 900}
    teams = [{"name": "tarieven"}, {"name": "schadeteam"}, {"name": "incasso"}]
    capacity, boot_s = 30, 35.0
    types = {
        "kleine-bak": {
            "Vcpus": 8.0, "Accelerators": 0.0, "MemGb": 64.0, "LocalGb": 70.0, "FetchGbPerS": 0.3,
            "Hourly": 0.71, "MarketPrice": 0.18, "StartupS": 40.0, "Yards": ["schelde", "leie"],
        },
        "grote-bak": {
            "Vcpus": 64.0, "Accelerators": 0.0, "MemGb": 256.0, "LocalGb": 60.0, "FetchGbPerS": 0.4,
            "Hourly": 4.5, "MarketPrice": 1.19, "StartupS": 35.0, "Yards": ["schelde", "leie"],
        },
    }


class Kempen(Site):
    """Settings like those of the motor book at its small size."""

    zones = ["dender", "demer", "nete"]
    report_s, lease_s, cancel_s = 2.5, 16.0, 36.0
    state = {"rps": 200.0, "write_rps": 50.0, "value_kb": 8.0, "txn_ops": 24}
    cloud = {"rps": 2.0, "list_lag_s": 8.0}
    limits = {"cores": 0.24, "ram_mb": 72.0, "sockets": 1800}
    teams = [
        {"name": "voertuigen", "cpus": 104.0, "cpus_max": 360.0},
        {"name": "expertise", "cpus": 40.0, "cpus_max": 128.0},
        {"name": "polisbeheer", "cpus": 64.0, "cpus_max": 104.0},
    ]
    capacity, boot_s = 30, 20.0
    types = {
        "smalle-kast": {
            "Vcpus": 8.0, "Accelerators": 0.0, "MemGb": 32.0, "LocalGb": 80.0, "FetchGbPerS": 0.5,
            "Hourly": 0.34, "MarketPrice": 0.09, "StartupS": 20.0, "Yards": ["dender", "demer", "nete"],
        },
        "brede-kast": {
            "Vcpus": 16.0, "Accelerators": 0.0, "MemGb": 32.0, "LocalGb": 40.0, "FetchGbPerS": 0.2,
            "Hourly": 0.64, "MarketPrice": 0.15, "StartupS": 20.0, "Yards": ["demer", "nete"],
        },
    }


def free_ports(count):
    sockets = [socket.socket() for _ in range(count)]
    for s in sockets:
        s.bind((net.HOST, 0))
    ports = [s.getsockname()[1] for s in sockets]
    for s in sockets:
        s.close()
    return ports


class CannotRun(Exception):
    """The case could not be played."""


class World:
    def __init__(self, folder, site=None, start_machines=()):
        self.site = site or Site()
        self.folder = Path(folder)
        self.started = time.monotonic()
        self.record = open(self.folder / "record.txt", "w", buffering=1)
        self.names = [f"host-{n}" for n in range(self.site.nodes)]
        self.specs, self.results = {}, set()
        self.starts = []  # (time, worker, piece, attempt): orders to start that a worker carried out
        self.runs = []  # [began, ended or None, worker, piece, attempt]
        self.returns = []  # (time, controller, names, pieces that ran, leader on record)
        self.large = []  # (time, worker, bytes, orders)
        self.refused_reports = []  # (time, worker, tasks)
        self.run_times = {}
        self.mistaken = set()  # jobs that were submitted with a mistake: their tasks fail on every machine
        self.start_machines = start_machines
        self.processes = [None] * self.site.nodes
        self.starts_of = [0] * self.site.nodes
        self.breaches = []

    # The record

    def now(self):
        return time.monotonic() - self.started

    def log(self, text):
        self.record.write(f"{self.now():8.3f} {text}\n")

    def breach(self, text):
        if text not in self.breaches:
            self.breaches.append(text)
            self.log(f"BROKEN: {text}")

    # What workers and the cloud tell

    def run_s(self, piece):
        return self.run_times.get(piece.partition("/")[0], 10.0)

    def commanded(self, worker, piece, attempt):
        self.starts.append((time.monotonic(), worker, piece, attempt))
        self.log(f"{worker.name}: start {piece} attempt {attempt}")

    def began(self, worker, piece, attempt):
        for run in self.runs:
            if run[1] is None and run[3] == piece:
                self.breach(f"ran_twice: {piece} starts on {worker.name} while it is on {run[2].name}")
        self.runs.append([time.monotonic(), None, worker, piece, attempt])
        self.log(f"{worker.name}: {piece} runs")

    def ended(self, worker, piece, attempt, cause):
        for run in self.runs:
            if run[1] is None and run[2] is worker and run[3] == piece and run[4] == attempt:
                run[1] = time.monotonic()
        self.log(f"{worker.name}: {piece} ends: {cause}")

    def answered(self, worker, sent, answer):
        pass

    def too_large(self, worker, size, orders):
        self.large.append((self.now(), worker, size, orders))
        self.log(f"{worker.name}: dropped an answer of {size} bytes with {orders} orders")

    def refused_report(self, worker, tasks):
        self.refused_reports.append((self.now(), worker, tasks))
        self.log(f"{worker.name}: a report with {tasks} tasks got 413")

    def returned(self, node, names):
        running = [run[3] for run in self.runs if run[1] is None and run[2].name in names]
        leader = self.store.leader()
        self.returns.append((self.now(), node, names, running, leader))
        on_record = "nobody" if leader is None else self.names[leader]
        self.log(f"cloud: {self.names[node]} returns {names}; on record leads {on_record}; running there: {running}")

    # Start and end

    async def start(self):
        service = tomllib.loads((ROOT / "deploy/service.toml").read_text())
        self.command = service["run"].split()
        if not (ROOT / self.command[0]).exists():
            raise CannotRun(f"{self.command[0]} is not built")
        self.temp = Path(tempfile.mkdtemp(prefix="review-2-"))
        self.store = State(self.site)
        self.store.log = self.log
        await self.store.start(self.site.nodes)
        self.cloud = Cloud(self)
        await self.cloud.start()
        ports = free_ports(2 * self.site.nodes)
        self.api_ports, self.back_ports = ports[: self.site.nodes], ports[self.site.nodes:]
        # Each controller reaches each other one through a link of its own.
        self.links = {}
        for a in range(self.site.nodes):
            for b in range(self.site.nodes):
                if a != b:
                    self.links[(a, b)] = await net.Link(self.back_ports[b]).start()
        for node in range(self.site.nodes):
            (self.temp / f"{self.names[node]}.toml").write_text(self.settings(node))
        for kind, zone in self.start_machines:
            await self.cloud.add(kind, zone, False)
        for node in range(self.site.nodes):
            self.spawn(node)
        await self.until(lambda: self.all_ready(), 30, "all controllers are ready")
        await self.until(lambda: self.settled(), 30, "a leader is on record")
        self.log(f"leader: {self.names[self.store.leader()]}")

    async def settled(self):
        return self.store.leader() is not None

    async def all_ready(self):
        statuses = [await net.call_once(port, "GET", "/ready", timeout=1.0) for port in self.api_ports]
        return all(status == 200 for status, _ in statuses)

    def settings(self, node):
        site, zone = self.site, lambda n: self.site.zones[n % len(self.site.zones)]
        text = (
            f'node_name = "{self.names[node]}"\nsite = "{zone(node)}"\n'
            f'api_addr = "{net.HOST}:{self.api_ports[node]}"\nback = "{net.HOST}:{self.back_ports[node]}"\n'
        )
        for other in range(site.nodes):
            if other != node:
                text += (
                    f'[[known]]\nnode_name = "{self.names[other]}"\nsite = "{zone(other)}"\n'
                    f'address = "{net.HOST}:{self.links[(node, other)].port}"\n'
                )
        text += (
            f'[outside]\ncloud = "{net.HOST}:{self.cloud.ports[node]}"\n'
            f'state = "{net.HOST}:{self.store.ports[node]}"\n'
            f"[params]\nnodes = {site.nodes}\nzones = {sorted(site.zones)!r}\ntime_bound_ms = 25.0\n"
        ).replace("'", '"')
        for team in site.teams:
            team = {"cpus": 0.0, "cpus_max": 0.0, "gpus": 0.0, "gpus_max": 0.0, **team}
            text += "[[params.teams]]\n" + "".join(
                f'{k} = "{v}"\n' if isinstance(v, str) else f"{k} = {v}\n" for k, v in team.items()
            )
        text += (
            f"[params.workers]\nreport_s = {site.report_s}\nlease_s = {site.lease_s}\ngang_wait_s = 35.0\n"
            f"gang_peer_s = 5.0\ncancel_s = {site.cancel_s}\n[params.state]\n"
        )
        text += "".join(f"{k} = {v}\n" for k, v in site.state.items()) + "[params.cloud]\n"
        text += "".join(f"{k} = {v}\n" for k, v in site.cloud.items()) + "[params.limits]\n"
        return text + "".join(f"{k} = {v}\n" for k, v in site.limits.items())

    def spawn(self, node):
        log = open(self.temp / f"{self.names[node]}-{self.starts_of[node]}.log", "w")
        self.starts_of[node] += 1
        command = [str(ROOT / self.command[0]), *self.command[1:], str(self.temp / f"{self.names[node]}.toml")]
        environment = {**os.environ, "LOG_LEVEL": os.environ.get("LOG_LEVEL", "info")}
        self.processes[node] = subprocess.Popen(
            command, cwd=ROOT, env=environment, stdin=subprocess.DEVNULL, stdout=subprocess.DEVNULL, stderr=log
        )
        self.log(f"{self.names[node]} is started")

    def signal(self, node, number):
        self.processes[node].send_signal(number)
        self.log(f"{self.names[node]} gets {signal.Signals(number).name}")

    def kill(self, node):
        self.signal(node, signal.SIGKILL)
        self.processes[node].wait()

    def cut_peers(self, node, cut):
        for (a, b), link in self.links.items():
            if node in (a, b):
                link.set_cut(cut)

    def stop(self):
        for process in self.processes:
            if process is not None and process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()
        keep = os.environ.get("KEEP_LOGS")
        if keep and hasattr(self, "temp"):
            shutil.copytree(self.temp, keep, dirs_exist_ok=True)
        if hasattr(self, "temp"):
            shutil.rmtree(self.temp, ignore_errors=True)

    async def until(self, check, seconds, what):
        """Waits until `check` (a function or a coroutine function) holds."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            result = check()
            if asyncio.iscoroutine(result):
                result = await result
            if result:
                return
            await asyncio.sleep(0.1)
        raise CannotRun(f"not within {seconds} s: {what}")

    # Users

    def job(self, number, tasks, cpus, memory, run_s, **more):
        """The description of a job, which its user also uploads for the workers."""
        ref = f"wk-{number:06}"
        spec = {
            "Ref": ref, "Lane": "spoed-reeks", "Owner": "tarieven", "Shape": "sweep", "Urgency": "high",
            "Pieces": tasks, "Vcpus": float(cpus), "Accelerators": 0.0, "MemGb": float(memory), "Bundle": "img-01",
            "SizeGb": 0.2, "Hulls": None, "Yard": None, "OneZone": False, "Scatter": False, "Loaners": True,
            "GuessS": float(run_s), "BookmarkS": 0.0, "StashS": 0.0, "DueS": None, **more,
        }
        self.specs[ref] = spec
        self.run_times[ref] = run_s
        return spec

    async def ask(self, node, method, path, value=None, timeout=5.0):
        """One user's request, recorded with its answer."""
        sent = self.now()
        status, answer = await net.call_once(self.api_ports[node], method, path, value, timeout)
        self.log(f"user: {method} {path} to {self.names[node]} at {sent:.3f}: {status} {answer}")
        return status, answer

    async def submit(self, spec, nodes=None, seconds=60):
        """Submits a job as users do, until a controller answers for good. Returns the status."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            node = random.choice(nodes or range(self.site.nodes))
            status, _ = await self.ask(node, "POST", "/api/jobs", spec)
            if status in (200, 201, 400, 422):
                return status
            await asyncio.sleep(1.0)
        return 0


def play(case):
    """Runs `case(world, trouble)` on the world that `case.build(folder)` makes, and exits with its result."""
    folder = Path(sys.argv[1])
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def main():
        world, code = case.build(folder), 2
        try:
            await world.start()
            await asyncio.wait_for(case(world, trouble), 112)
            code = 1 if world.breaches else 0
            print("\n".join(f"rule broken: {b}" for b in world.breaches) or "the rule held", flush=True)
        except (CannotRun, asyncio.TimeoutError, OSError) as error:
            world.log(f"the case could not run: {error!r}")
            print(f"the case could not run: {error!r}", flush=True)
        except BaseException:
            traceback.print_exc()
        finally:
            world.stop()
            world.log(f"exit status {code}")
        os._exit(code)

    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    asyncio.run(main())
