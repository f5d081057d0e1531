"""Stand-ins for the cloud and for workers, which follow the protocol's pages."""
import asyncio
import random
import time
from urllib.parse import parse_qs, urlsplit

import cbor
import net

REPORT_LIMIT = 64 * 1024


class Worker:
    """A machine's worker. `world` knows the jobs that were submitted and the results that are kept."""

    def __init__(self, world, name, kind, zone, spot):
        self.world, self.name, self.kind, self.zone, self.spot = world, name, kind, zone, spot
        self.type = world.site.types[kind]
        self.session, self.tally, self.token = 1, 0, 0
        self.tasks = {}  # (piece, attempt) -> dict
        self.images, self.fetches = set(), {}
        self.node = random.randrange(world.site.nodes)
        self.renewed = time.monotonic()
        self.gone = False
        self.changed = asyncio.Event()
        self.connections = {}
        self.token_told = 0.0

    async def start(self):
        self.server, self.port = await net.serve(self.handle)
        self.jobs = [asyncio.ensure_future(self.reports()), asyncio.ensure_future(self.lease())]

    def log(self, text):
        self.world.log(f"{self.name}: {text}")

    # Tasks

    def free(self):
        cpus, memory = self.type["Vcpus"], self.type["MemGb"]
        for task in self.tasks.values():
            if task["state"] != "ended":
                cpus -= task["spec"]["Vcpus"]
                memory -= task["spec"]["MemGb"]
        return cpus, memory

    def on_machine(self, piece):
        return any(p == piece and t["state"] == "running" for (p, _), t in self.tasks.items())

    def start_task(self, piece, attempt):
        if (piece, attempt) in self.tasks:
            return
        job, _, index = piece.partition("/")
        spec = self.world.specs.get(job)
        task = {"state": "ended", "cause": None, "spec": spec, "timer": None}
        self.tasks[(piece, attempt)] = task
        if spec is None or int(index) >= spec["Pieces"]:
            task["cause"] = "unknown"
        elif any(p == piece and a != attempt and t["state"] != "ended" for (p, a), t in self.tasks.items()):
            task["cause"] = "in_use"
        else:
            cpus, memory = self.free()
            if spec["Vcpus"] > cpus + 1e-6 or spec["MemGb"] > memory + 1e-6:
                task["cause"] = "no_room"
            else:
                task["state"] = "fetching"
                self.world.commanded(self, piece, attempt)
                task["timer"] = asyncio.ensure_future(self.run(piece, attempt, task))
        self.changed.set()

    async def fetch(self, image, size):
        if image not in self.fetches:
            self.fetches[image] = asyncio.ensure_future(asyncio.sleep(size / self.type["FetchGbPerS"]))
        await asyncio.shield(self.fetches[image])

    async def run(self, piece, attempt, task):
        spec = task["spec"]
        await self.fetch(spec["Bundle"], spec["SizeGb"])
        if piece in self.world.results:
            task.update(state="ended", cause="done")
            self.changed.set()
            return
        task["state"] = "running"
        self.world.began(self, piece, attempt)
        self.changed.set()
        if spec["Shape"] == "service":
            return
        await asyncio.sleep(self.world.run_s(piece))
        if spec["Ref"] in self.world.mistaken:
            task.update(state="ended", cause="error")
            self.world.ended(self, piece, attempt, "error")
            self.changed.set()
            return
        task.update(state="ended", cause="done")
        self.world.results.add(piece)
        self.world.ended(self, piece, attempt, "done")
        self.changed.set()

    def stop_task(self, key, cause, forget=False):
        task = self.tasks[key]
        if task["state"] != "ended":
            if task["timer"] is not None:
                task["timer"].cancel()
            was_running = task["state"] == "running"
            task.update(state="ended", cause=cause)
            if was_running:
                self.world.ended(self, key[0], key[1], cause)
        if forget:
            del self.tasks[key]
        self.changed.set()

    def execute(self, orders):
        for order in orders:
            key = (order["Piece"], order["Try"])
            if order["Verb"] == "start":
                self.start_task(*key)
            elif order["Verb"] == "kill" and key in self.tasks:
                self.stop_task(key, "stopped")
            elif order["Verb"] == "clear" and key in self.tasks and self.tasks[key]["state"] == "ended":
                del self.tasks[key]
                self.changed.set()

    def forget_all(self, why):
        for key in list(self.tasks):
            self.stop_task(key, why, forget=True)

    async def lease(self):
        while not self.gone:
            await asyncio.sleep(0.05)
            if time.monotonic() - self.renewed > self.world.site.lease_s:
                self.log(f"lease expired in session {self.session}; {len(self.tasks)} tasks are killed and forgotten")
                self.forget_all("lease expired")
                self.session += 1
                self.renewed = time.monotonic()
                self.changed.set()

    def terminate(self):
        if self.gone:
            return
        self.gone, self.stopped = True, time.monotonic()
        self.forget_all("machine gone")
        for job in self.jobs:
            job.cancel()
        self.server.close()
        for connection in self.connections.values():
            connection.close()

    # Messages

    def report(self):
        self.tally += 1
        pieces = []
        for (piece, attempt), task in self.tasks.items():
            item = {"Piece": piece, "Try": attempt, "Stage": task["state"]}
            if task["state"] == "ended":
                item["Cause"] = task["cause"]
            pieces.append(item)
        return {
            "Host": self.name, "Endpoint": f"{net.HOST}:{self.port}", "Hull": self.kind, "Yard": self.zone,
            "Loaners": self.spot, "Tenure": self.session, "Tally": self.tally, "Baton": self.token,
            "WarningS": None, "Pieces": pieces,
        }

    def see_token(self, token):
        if token > self.token:
            self.token = token
            now = time.monotonic()
            if now - self.token_told > self.world.site.lease_s / 2:
                self.token_told = now
                self.changed.set()

    async def handle(self, method, path, body):
        """Direct commands and status."""
        if self.gone:
            raise net.Held()
        if path == "/status":
            return 200, self.report()
        message = cbor.decode(body)
        if "Baton" not in message or "Tenure" not in message:
            return 400, None
        if message["Baton"] < self.token or message["Tenure"] != self.session:
            return 409, self.report()
        self.see_token(message["Baton"])
        self.execute(message.get("Orders", []))
        return 200, self.report()

    async def reports(self):
        site = self.world.site
        await asyncio.sleep(random.random() * site.report_s)
        while not self.gone:
            sent = time.monotonic()
            self.changed.clear()
            wait_s = await self.send_report(sent)
            if wait_s is not None:
                await asyncio.sleep(wait_s)
                continue
            next_at = sent + site.report_s * random.uniform(0.75, 1.25)
            await asyncio.sleep(max(0.0, sent + 0.5 - time.monotonic()))
            left = next_at - time.monotonic()
            if left > 0 and not self.changed.is_set():
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass

    async def send_report(self, sent):
        """Sends one report. Returns the time to wait if the next one goes to another controller."""
        nodes = self.world.site.nodes
        session = self.session
        message = self.report()
        connection = self.connections.setdefault(self.node, net.Connection(self.world.api_ports[self.node]))
        try:
            status, _, body = await connection.call("POST", "/v1/report", cbor.encode(message), 4.0)
            answer = cbor.decode(body) if body else {}
        except (OSError, asyncio.TimeoutError, ConnectionError, ValueError):
            status, answer, body = 0, {}, b""
        if self.gone:
            return 1.0
        if status == 200 and len(body) > REPORT_LIMIT:
            self.world.too_large(self, len(body), len(answer.get("Orders", [])))
            status = 0
        if status == 200:
            token = answer.get("Baton")
            if token is not None and token >= self.token and session == self.session:
                self.see_token(token)
                self.renewed = sent
                self.world.answered(self, sent, answer)
                self.execute(answer.get("Orders", []))
            return None
        connection.close()
        if status == 421 and isinstance(answer, dict) and answer.get("Steward") in self.world.names:
            node = self.world.names.index(answer["Steward"])
            if node != self.node:
                self.node = node
                return random.uniform(0.0, 0.5)
        if status == 413:
            self.world.refused_report(self, len(message["Pieces"]))
        self.node = (self.node + 1) % nodes
        return 1.0


class Cloud:
    """Rents machines by the second. Each controller reaches it at a port of its own."""

    def __init__(self, world, latency_s=0.09):
        self.world, self.latency_s = world, latency_s
        self.machines, self.rented, self.hires = {}, {}, {}
        self.out = False
        self.capacity, self.boot_s = world.site.capacity, world.site.boot_s
        self.ports, self.servers, self.number = {}, [], 0
        self.history = []  # (time, names in the list)
        self.asked_spot = []  # for each request to rent, whether it was for cheap machines
        self.on_call = lambda node, method, path: None

    async def start(self):
        for node in range(self.world.site.nodes):
            server, port = await net.serve(lambda m, p, b, node=node: self.handle(node, m, p, b))
            self.servers.append(server)
            self.ports[node] = port

    async def add(self, kind, zone, spot):
        """Adds a machine that is up."""
        self.number += 1
        name = f"n-{self.number:06}"
        worker = Worker(self.world, name, kind, zone, spot)
        await worker.start()
        self.machines[name] = worker
        self.rented[name] = time.monotonic()
        return worker

    async def rent(self, kind, zone, spot):
        self.number += 1
        name = f"n-{self.number:06}"
        self.rented[name] = time.monotonic()
        self.machines[name] = None

        async def boot():
            await asyncio.sleep(self.boot_s * random.uniform(0.6, 1.5))
            if name in self.machines:
                worker = Worker(self.world, name, kind, zone, spot)
                await worker.start()
                self.machines[name] = worker

        worker = (name, kind, zone, spot)
        self.machines[name] = worker
        asyncio.ensure_future(boot())
        return name

    def listed(self, name):
        worker = self.machines[name]
        up = isinstance(worker, Worker)
        kind, zone, spot = (worker.kind, worker.zone, worker.spot) if up else worker[1:]
        # A machine that stopped by itself is listed as running for about 30 s more.
        failed = up and worker.gone and time.monotonic() - worker.stopped > 30
        return {
            "Ref": name, "Endpoint": f"{net.HOST}:{worker.port}" if up else None, "Hull": kind, "Yard": zone,
            "Loaners": spot, "Stage": "failed" if failed else "running" if up else "starting",
            "HeldS": time.monotonic() - self.rented[name],
        }

    async def handle(self, node, method, path, body):
        self.on_call(node, method, path)
        await asyncio.sleep(self.latency_s)
        if self.out:
            return 503, {"error": "trouble"}
        parts = urlsplit(path)
        if parts.path == "/flavors":
            return 200, {"Hulls": [dict(spec, Sku=name) for name, spec in self.world.site.types.items()]}
        if parts.path == "/machines" and method == "GET":
            after = parse_qs(parts.query).get("After", [""])[0]
            names = [name for name in sorted(self.machines) if name > after]
            return 200, {"Hosts": [self.listed(name) for name in names[:500]], "Truncated": len(names) > 500}
        message = cbor.decode(body)
        if parts.path == "/machines":
            if message["Hire"] in self.hires:
                return 200, {"Hosts": self.hires[message["Hire"]]}
            self.asked_spot.append(message["Loaners"])
            room = max(0, self.capacity - len(self.machines))
            if room == 0:
                return 503, {"error": "no capacity"}
            names = []
            for _ in range(min(room, message["Number"], 50)):
                names.append(await self.rent(message["Hull"], message["Yard"], message["Loaners"]))
            self.hires[message["Hire"]] = names
            self.world.log(f"cloud: {self.world.names[node]} rents {names}")
            return 200, {"Hosts": names}
        if parts.path == "/machines/return":
            self.world.returned(node, message["Hosts"])
            for name in message["Hosts"]:
                worker = self.machines.pop(name, None)
                if isinstance(worker, Worker):
                    worker.terminate()
            return 200, {}
        return 400, None
