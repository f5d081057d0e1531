"""A stand-in for the state service. Each controller reaches it at a port of its own."""
import asyncio
import bisect
import json
import time
from urllib.parse import parse_qs, urlsplit

import cbor
import net


def json_size(value):
    return len(json.dumps(value, separators=(",", ":")).encode())


class Bucket:
    """A limit per second, with bursts of one second's worth."""

    def __init__(self, rate):
        self.rate, self.level, self.at = rate, rate, time.monotonic()

    def take(self, n):
        now = time.monotonic()
        self.level = min(self.rate, self.level + (now - self.at) * self.rate)
        self.at = now
        if self.level < n:
            return False
        self.level -= n
        return True


class State:
    def __init__(self, site, latency_s=0.003):
        limits = site.state
        self.value_bytes = int(limits["value_kb"] * 1024)
        self.txn_ops = limits["txn_ops"]
        self.requests, self.writes = Bucket(limits["rps"]), Bucket(limits["write_rps"])
        self.latency_s = latency_s
        self.keys, self.order, self.revision = {}, [], 0
        self.events, self.first_kept = [], 0
        self.leases, self.next_lease = {}, 1
        self.changed = asyncio.Condition()
        # Controllers that the service refuses (503), and those that cannot reach it (no answer).
        self.refused, self.unreachable = set(), set()
        self.log = lambda text: None
        self.ports, self.servers = {}, []

    async def start(self, nodes):
        for node in range(nodes):
            server, port = await net.serve(lambda m, p, b, node=node: self.handle(node, m, p, b))
            self.servers.append(server)
            self.ports[node] = port
        self.expiry = asyncio.ensure_future(self.expire())

    async def expire(self):
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            for lease in [l for l, (_, until, _) in self.leases.items() if until <= now]:
                self.end_lease(lease)
                await self.notify()

    def end_lease(self, lease):
        _, _, keys = self.leases.pop(lease)
        attached = [key for key in keys if key in self.keys and self.keys[key][2] == lease]
        if attached:
            self.revision += 1
            for key in attached:
                self.delete(key)

    async def notify(self):
        async with self.changed:
            self.changed.notify_all()

    def delete(self, key):
        if key in self.keys:
            del self.keys[key]
            del self.order[bisect.bisect_left(self.order, key)]
            self.event({"Drop": key, "Stamp": self.revision})

    def put(self, key, value, lease):
        if key not in self.keys:
            bisect.insort(self.order, key)
        self.keys[key] = (value, self.revision, lease)
        if lease is not None:
            self.leases[lease][2].add(key)
        self.event({"Set": key, "V": value, "Stamp": self.revision})

    def event(self, event):
        self.events.append(event)
        if len(self.events) > 10_000:
            self.first_kept = self.events[len(self.events) - 10_001]["Stamp"]
            del self.events[: len(self.events) - 10_000]

    def value(self, key):
        return self.keys[key][0] if key in self.keys else None

    def leader(self):
        """The number of the controller that the state service names as the leader; None without one."""
        record = self.value("lead")
        return None if record is None else record["node"]

    async def reach(self, node):
        """Waits until the controller reaches the service; raises Held where a message would be lost."""
        if node in self.unreachable:
            raise net.Held()

    async def handle(self, node, method, path, body):
        await self.reach(node)
        if node in self.refused:
            return 503, {"error": "trouble"}
        if not self.requests.take(1):
            return 429, None
        await asyncio.sleep(self.latency_s / 2)
        status, value = await self.answer(node, method, path, body)
        await asyncio.sleep(self.latency_s / 2)
        await self.reach(node)
        return status, value

    async def answer(self, node, method, path, body):
        parts = urlsplit(path)
        query = {name: values[0] for name, values in parse_qs(parts.query, keep_blank_values=True).items()}
        if parts.path.startswith("/keys/"):
            key = parts.path[len("/keys/"):]
            if key not in self.keys:
                return 404, {"Epoch": self.revision}
            value, version, lease = self.keys[key]
            item = {"Path": key, "V": value, "Stamp": version}
            if lease is not None:
                item["Tenancy"] = lease
            return 200, item
        if parts.path == "/keys":
            return self.page(query)
        if parts.path == "/multi":
            status, value = self.commit(cbor.decode(body), len(body))
            if status == 200:
                await self.notify()
            return status, value
        if parts.path == "/changes":
            return await self.watch(node, query)
        if parts.path == "/leases":
            ttl = cbor.decode(body)["TtlMs"] / 1000
            lease, self.next_lease = self.next_lease, self.next_lease + 1
            self.leases[lease] = [ttl, time.monotonic() + ttl, set()]
            return 200, {"Tenancy": lease}
        if parts.path.startswith("/leases/"):
            lease = int(parts.path.split("/")[2])
            if lease not in self.leases:
                return 404, None
            if method == "DELETE":
                self.end_lease(lease)
                await self.notify()
            else:
                self.leases[lease][1] = time.monotonic() + self.leases[lease][0]
            return 200, {}
        return 400, None

    def page(self, query):
        prefix, after = query.get("Starts", ""), query.get("After", "")
        limit = min(int(query.get("Limit", "1000")), 1000)
        at = max(bisect.bisect_left(self.order, prefix), bisect.bisect_right(self.order, after))
        items, size, truncated = [], 0, False
        while at < len(self.order) and self.order[at].startswith(prefix):
            key = self.order[at]
            value, version, _ = self.keys[key]
            size += json_size(value) + len(key) + 40
            if len(items) >= limit or size > 512 * 1024:
                truncated = True
                break
            items.append({"Path": key, "V": value, "Stamp": version})
            at += 1
        return 200, {"Items": items, "Truncated": truncated, "Epoch": self.revision}

    def commit(self, txn, body_bytes):
        guards, changes = txn.get("Guards", []), txn.get("Apply", [])
        sizes = [json_size(change.get("V")) for change in changes if "Set" in change]
        if (
            len(changes) > self.txn_ops
            or len(guards) > 4 * self.txn_ops
            or any(size > self.value_bytes for size in sizes)
            or json_size(txn) > 64 * 1024
        ):
            self.log(f"state service: 400 to a transaction of {len(changes)} changes, {json_size(txn)} bytes")
            return 400, {"error": "too large"}
        if changes and not self.writes.take(len(changes)):
            return 429, None
        if any(change.get("Tenancy") is not None and change["Tenancy"] not in self.leases for change in changes):
            return 400, {"error": "no such lease"}
        version = lambda key: self.keys[key][1] if key in self.keys else 0
        failed = [guard["Path"] for guard in guards if version(guard["Path"]) != guard["Stamp"]]
        if failed:
            return 409, {"failed": failed, "Epoch": self.revision}
        if changes:
            self.revision += 1
        for change in changes:
            if "Set" in change:
                self.put(change["Set"], change["V"], change.get("Tenancy"))
            else:
                self.delete(change["Drop"])
        return 200, {"Epoch": self.revision}

    def events_after(self, after, prefix):
        at = bisect.bisect_right(self.events, after, key=lambda event: event["Stamp"])
        return [e for e in self.events[at:] if (e.get("Set") or e["Drop"]).startswith(prefix)]

    async def watch(self, node, query):
        after, prefix = int(query["After"]), query.get("Starts", "")
        until = time.monotonic() + min(int(query.get("WaitMs", "0")), 60_000) / 1000
        while True:
            if node in self.unreachable or node in self.refused:
                await asyncio.sleep(0.05)  # An open watch waits as in an outage.
                if node in self.unreachable:
                    raise net.Held()
                continue
            if after < self.first_kept:
                return 410, None
            events = self.events_after(after, prefix)
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"Epoch": self.revision, "News": events}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
