"""A small site for the review's scripts: stand-ins for the platform's store, the executors and the
clients, in one process on loopback addresses, and the project's own nodes as separate processes.

The stand-ins follow the users' pages PROTOCOL.md and DEPLOY.md. They use the standard library only.
"""

import asyncio
import base64
import json
import os
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
import traceback
import urllib.parse

HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(os.path.dirname(HERE))

HOST = "shop.example"
PREFIX = "/jobs/"
SERVICE = "sablona"

# Bounds of the small site kovacik-sablony, as its page states them.
HOLD_MAX_MS = 1000
STOP_MS = 50
HEARTBEAT_MS = 1500
RESEND_MS = 1300
GRACE_S = 6
TIMEOUT_MS = 1500
HISTORY_S = 20


class Unusable(Exception):
    """The case could not run."""


class Record:
    """What was sent, answered and run, in the order of time."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.begun = time.monotonic()

    def now(self):
        return time.monotonic() - self.begun

    def write(self, what, **fields):
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.file.write(f"{self.now():9.3f} {what} {text}\n")

    def close(self):
        self.file.close()


def free_port():
    """A port that is free for TCP and for UDP."""
    for _ in range(200):
        with socket.socket() as tcp, socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp:
            tcp.bind(("127.0.0.1", 0))
            port = tcp.getsockname()[1]
            try:
                udp.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port
    raise Unusable("no free port")


# HTTP/1.1


async def read_head(reader):
    """Returns the first line and the headers of a message; None at the end of the channel."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    if "chunked" in headers.get("transfer-encoding", ""):
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readline()
            if size == 0:
                return body
    return await reader.readexactly(int(headers.get("content-length", "0")))


class Server:
    """An HTTP server. `answer(method, path, headers, body)` returns status and body, or None if the
    request gets no answer."""

    def __init__(self, answer):
        self.answer = answer
        self.server = None
        self.port = None
        self.channels = set()

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port)
        self.port = self.server.sockets[0].getsockname()[1]

    async def stop(self):
        """Stops listening and breaks all channels."""
        self.server.close()
        for writer in list(self.channels):
            writer.transport.abort()
        await asyncio.sleep(0)

    async def serve(self, reader, writer):
        self.channels.add(writer)
        try:
            writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            while True:
                first, headers = await read_head(reader)
                method, target, _ = first.split(" ")
                body = await read_body(reader, headers)
                reply = await self.answer(method, target, headers, body)
                if reply is None:
                    # The channel stays open and says nothing; the caller gives up.
                    await reader.read(1)
                    return
                status, content = reply
                data = b"" if content is None else json.dumps(content).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode() + data
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.channels.discard(writer)
            writer.close()


# The platform's store


class Store:
    """The platform's metadata store, as PROTOCOL.md describes it."""

    def __init__(self):
        self.items = {}
        self.revision = 100
        self.events = []
        self.leases = {}
        self.next_lease = 1
        self.waiting = set()
        self.server = Server(self.answer)

    async def start(self):
        await self.server.start()
        self.sweeper = asyncio.create_task(self.sweep())

    async def sweep(self):
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            ended = [lease for lease, (_, until) in self.leases.items() if until < now]
            for lease in ended:
                await self.end_lease(lease)

    async def end_lease(self, lease):
        del self.leases[lease]
        keys = [key for key, item in self.items.items() if item["lease"] == lease]
        if keys:
            await self.change([], keys)

    async def put(self, key, value):
        """A write of an executor or of the operator."""
        await self.change([(key, json.dumps(value).encode(), 0)], [])

    async def delete(self, key):
        await self.change([], [key])

    async def change(self, puts, deletes):
        self.revision += 1
        for key, value, lease in puts:
            old = self.items.get(key)
            created = old["created"] if old else self.revision
            item = {
                "key": key,
                "value": base64.b64encode(value).decode(),
                "revision": self.revision,
                "created": created,
                "lease": lease,
            }
            self.items[key] = item
            self.events.append((self.revision, key, item))
        for key in deletes:
            if self.items.pop(key, None):
                tombstone = {"key": key, "revision": self.revision, "tombstone": True}
                self.events.append((self.revision, key, tombstone))
        for event in self.waiting:
            event.set()

    async def answer(self, method, target, headers, body):
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
        if url.path == "/-/kv-key":
            item = self.items.get(query["key"])
            return (404, {}) if item is None else (200, {**item, "as_of": self.revision})
        if url.path == "/-/kv-range":
            prefix, after = query.get("prefix", ""), query.get("after", "")
            keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
            items = [self.items[key] for key in keys[:500]]
            more = len(keys) > 500
            return 200, {"items": items, "has_more": more, "as_of": self.revision}
        if url.path == "/-/kv-watch":
            return await self.watch(query)
        if url.path == "/-/kv-txn":
            return await self.commit(json.loads(body))
        if url.path == "/-/kv-lease":
            ttl = max(json.loads(body)["ttl_ms"], 1000)
            lease, self.next_lease = self.next_lease, self.next_lease + 1
            self.leases[lease] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {"lease": lease, "ttl_ms": ttl}
        name = url.path.rsplit("/", 1)
        lease = int(name[1]) if name[1].isdigit() else 0
        if lease not in self.leases:
            return 404, {}
        if name[0] == "/-/kv-keep":
            ttl = self.leases[lease][0]
            self.leases[lease] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {"ttl_ms": ttl}
        if name[0] == "/-/kv-lease-end" and method == "DELETE":
            await self.end_lease(lease)
            return 200, {}
        return 404, {}

    async def watch(self, query):
        prefix, after = query.get("prefix", ""), int(query["after"])
        until = time.monotonic() + min(int(query.get("wait_ms", "0")), 30000) / 1000
        while True:
            events = [e for rev, key, e in self.events if rev > after and key.startswith(prefix)]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events[:200], "as_of": self.as_of(events)}
            changed = asyncio.Event()
            self.waiting.add(changed)
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                pass
            finally:
                self.waiting.discard(changed)

    def as_of(self, events):
        return events[199]["revision"] if len(events) > 200 else self.revision

    async def commit(self, body):
        for row in body.get("expected", []):
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                keys = [row["key"] for row in body["expected"]]
                return 412, {"items": [self.items[key] for key in keys if key in self.items]}
        puts = []
        for row in body.get("puts", []):
            lease = row.get("lease", 0)
            if lease and lease not in self.leases:
                return 404, {}
            if row["key"].startswith(("op/", "servers/")):
                return 403, {}
            puts.append((row["key"], base64.b64decode(row["value"]), lease))
        await self.change(puts, body.get("deletes", []))
        return 200, {"revision": self.revision}


class Gate:
    """The store as one node reaches it: it may turn that node away and serve the others."""

    def __init__(self, store):
        self.store = store
        self.is_closed = False
        self.server = Server(self.answer)

    async def start(self):
        await self.server.start()

    async def answer(self, method, target, headers, body):
        if self.is_closed:
            return 503, {}
        reply = await self.store.answer(method, target, headers, body)
        # A watch that waits is turned away as well.
        return (503, {}) if self.is_closed else reply


def config(version=7, timeout_ms=TIMEOUT_MS, guards=True, stretch=1.6):
    """A configuration with one queue, with the figures of the small site."""
    return {
        "version": version,
        "routes": [
            {
                "name": "r-1",
                "host": HOST,
                "prefix": PREFIX,
                "kind": "unsafe",
                "timeout_ms": timeout_ms,
                "target_duration_ms": 60,
                "priority": 1,
                "service": SERVICE,
                "max_attempts": 4,
                "stretch": stretch,
            }
        ],
        "services": [
            {
                "name": SERVICE,
                "health_path": "/health",
                "max_connections": 64,
                "protocol": "h1",
                "tls": False,
                "enforces_capacity": guards,
                "spare": False,
            }
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 262144,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
    }


# Executors


class Run:
    def __init__(self, task, number, spec, ends_at):
        self.task = task
        self.number = number
        self.spec = spec
        self.ends_at = ends_at
        self.how = "done"
        self.begun = time.monotonic()


class Executor:
    """An executor: one machine whose process may crash and start again.

    What a task's spec says (milliseconds, cores) is what it takes. `order_fault(kind)` returns
    None, or the seconds after which an order that gets no answer is carried out.
    """

    def __init__(self, site, name, zone, kind, cpu=64000, guards=True):
        self.site = site
        self.name = name
        self.zone = zone
        self.kind = kind
        self.cpu = cpu
        self.guards = guards
        self.order_fault = lambda kind: None
        self.server = None
        self.port = 0
        self.up = False
        self.keepalive = None
        self.sweeper = None
        self.known = []

    async def start(self):
        """Starts a new boot: it runs and knows nothing of before."""
        self.born = int(time.time() * 1000)
        self.clock_base = time.monotonic() - random.uniform(1, 9)
        self.running = {}
        self.ended = []
        self.next_end = 1
        self.token = 0
        self.deadline = 0
        self.past = {}
        self.sequence = 0
        self.up = True
        self.up_since = time.monotonic()
        self.resized = self.up_since
        self.changed = asyncio.Event()
        self.server = Server(self.answer)
        if self.port:
            # The store knows the new boot before it takes its first order.
            await self.register()
        await self.server.start(self.port)
        self.port = self.server.port
        if not self.sequence:
            await self.register()
        self.keepalive = asyncio.create_task(self.report())
        self.sweeper = asyncio.create_task(self.sweep())
        self.site.record.write(
            "executor-up", id=self.name, born=self.born, kind=self.kind, cpu=self.cpu
        )

    async def crash(self):
        """The process is gone at once, and all that it ran."""
        self.up = False
        self.keepalive.cancel()
        self.sweeper.cancel()
        for run in self.running.values():
            self.site.ended(self, run, "crashed")
        self.running = {}
        self.site.record.write("executor-crash", id=self.name)
        await self.server.stop()

    def clock(self):
        """Its steady clock, which is 1% slow."""
        return int((time.monotonic() - self.clock_base) * 990)

    async def resize(self, cpu):
        """Its capacity shrinks or grows; its entry shows that at once."""
        self.cpu = cpu
        self.resized = time.monotonic()
        self.site.record.write("executor-capacity", id=self.name, cpu=cpu)
        await self.register()

    async def register(self):
        self.sequence += 1
        await self.site.store.put(
            f"servers/{self.name}",
            {
                "service": SERVICE,
                "address": f"127.0.0.1:{self.port}",
                "zone": self.zone,
                "version": "v1",
                "slots": 8,
                "state": "ready",
                "cold_remaining_ms": 0,
                "capacity": {"cpu": self.cpu, "mem_mb": 262144, "gpu": 0},
                "labels": [self.kind, f"r-{self.zone}"],
                "clock_ms": self.clock(),
                "sequence": self.sequence,
                "born": self.born,
            },
        )

    async def report(self):
        while True:
            await asyncio.sleep(HEARTBEAT_MS / 1000)
            await self.register()

    async def sweep(self):
        while True:
            await asyncio.sleep(0.004)
            self.end_due()

    def end_due(self):
        now = time.monotonic()
        lapsed = self.clock() > self.deadline
        for run in list(self.running.values()):
            if run.ends_at <= now:
                self.end(run, run.how)
            elif lapsed:
                self.end(run, "lapsed")

    def end(self, run, how):
        del self.running[run.task]
        self.past[run.task] = max(self.past.get(run.task, 0), run.number)
        self.ended.append([self.next_end, run.task, run.number, how, ""])
        self.next_end += 1
        self.site.ended(self, run, how)
        self.changed.set()

    def used(self):
        return sum(run.spec["cpu"] for run in self.running.values())

    def extend(self, deadline):
        self.deadline = max(self.deadline, min(deadline, self.clock() + HOLD_MAX_MS))

    async def answer(self, method, target, headers, body):
        if target == "/health":
            return 200, {}
        expected = headers.get("x-expected-instance")
        if expected is not None and expected != self.name:
            return 421, {}
        order = {"/-/run-start": self.run_start, "/-/run-stop": self.run_stop, "/-/hold": self.hold}
        kind = target.removeprefix("/-/")
        body = json.loads(body)
        late = self.order_fault(kind)
        if late is None:
            return await order[target](body)
        self.site.record.write(
            "unanswered", id=self.name, order=kind, task=body.get("task", "-"),
            run=body.get("run", "-"), carried_out_after_s=round(late, 2),
        )
        asyncio.create_task(self.carry_out(order[target], body, late, self.born))
        return None

    async def carry_out(self, order, body, late, born):
        await asyncio.sleep(late)
        if self.up and self.born == born:
            await order({**body, "wait_ms": 0})

    def fenced(self, body):
        token = body.get("fencing_token", 0)
        if token < self.token:
            return True
        self.token = token
        return False

    def reply(self, status, **fields):
        return status, {"clock_ms": self.clock(), "born": self.born, **fields}

    async def run_start(self, body):
        self.end_due()
        task, number = body["task"], body["run"]
        if self.fenced(body):
            return self.reply(409, reason="fence")
        if task in self.running and self.running[task].number == number:
            return self.reply(200)
        if body["deadline_ms"] < self.clock():
            return self.reply(409, reason="late")
        self.extend(body["deadline_ms"])
        if task in self.running or self.past.get(task, 0) >= number:
            return self.reply(409, reason="old")
        spec = json.loads(body["spec"])
        if self.guards and self.used() + spec["cpu"] > self.cpu:
            return self.reply(409, reason="room")
        run = Run(task, number, spec, time.monotonic() + spec["ms"] / 1000)
        self.running[task] = run
        self.site.started(self, run, body["spec"])
        return self.reply(200)

    async def run_stop(self, body):
        self.end_due()
        if self.fenced(body):
            return self.reply(409, reason="fence")
        task, number = body["task"], body["run"]
        self.past[task] = max(self.past.get(task, 0), number)
        run = self.running.get(task)
        if run and run.number == number:
            run.ends_at = min(run.ends_at, time.monotonic() + (STOP_MS - 2) / 1000)
            run.how = "stopped"
        return self.reply(200)

    async def hold(self, body):
        self.end_due()
        if self.fenced(body):
            return self.reply(409, reason="fence")
        if "deadline_ms" in body:
            self.extend(body["deadline_ms"])
        acked = body.get("acked_upto", 0)
        self.ended = [end for end in self.ended if end[0] > acked]
        until = time.monotonic() + min(body.get("wait_ms", 0), 2000) / 1000
        while not self.ended and time.monotonic() < until:
            self.changed.clear()
            try:
                await asyncio.wait_for(self.changed.wait(), until - time.monotonic())
            except asyncio.TimeoutError:
                pass
        running = [[run.task, run.number, "", 50, 100] for run in self.running.values()]
        return self.reply(200, running=running, ended=self.ended[:500])


# Nodes


def template_value(fields, path):
    value = fields
    for part in path.split("."):
        value = value[part]
    return value


class Node:
    """One of the project's nodes, started as the deploy file says."""

    def __init__(self, site, name, zone, cores, gate):
        self.site = site
        self.gate = gate
        self.name = name
        self.zone = zone
        self.process = None
        self.internal = internal = free_port()
        self.front = free_port()
        self.ready = free_port()
        fields = {
            "node_name": name,
            "zone": zone,
            "listen": {"front": f"127.0.0.1:{self.front}", "ready": f"127.0.0.1:{self.ready}"},
            "ip": "127.0.0.1",
            "internal_ports": [internal, internal],
            "limits": {"cpu_share": cores},
            "platform": {"address": f"127.0.0.1:{gate.server.port}"},
            "bounds": {"hold_max_ms": HOLD_MAX_MS, "stop_ms": STOP_MS, "grace_s": GRACE_S},
        }
        with open(os.path.join(ROOT, "deploy", "system.toml"), encoding="utf-8") as file:
            deploy = file.read()
        role = dict(re.findall(r'^(run|template) = "(.*)"$', deploy, re.MULTILINE))
        self.command = role["run"].split(" ")
        with open(os.path.join(ROOT, role["template"]), encoding="utf-8") as file:
            text = file.read()
        fill = lambda match: json.dumps(template_value(fields, match.group(1)))
        self.document = json.loads(re.sub(r"\{\{([a-z_.]+)\|json\}\}", fill, text))
        self.settings = os.path.join(site.folder, f"{name}.json")
        self.log = os.path.join(site.folder, f"{name}.log")

    def start(self):
        env = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        env["PRIMROSESTEP_SETTINGS"] = self.settings
        with open(self.settings, "w", encoding="utf-8") as file:
            json.dump(self.document, file)
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(
                self.command, cwd=ROOT, env=env, stdout=log, stderr=log, stdin=subprocess.DEVNULL
            )
        self.site.record.write("node-start", node=self.name, pid=self.process.pid)

    def kill(self):
        self.site.record.write("node-kill", node=self.name)
        self.process.send_signal(signal.SIGKILL)
        self.process.wait()

    def end(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    async def is_ready(self):
        try:
            reply = await request(self.ready, "GET", "/-/readiness", timeout=1)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False
        return reply[0] == 200


class Relay(asyncio.DatagramProtocol):
    """Stands before one node for the connections that its peers open to it, and loses the datagrams
    between nodes that are cut off from each other."""

    class Back(asyncio.DatagramProtocol):
        """The socket that stands for one peer towards the node."""

        def __init__(self, relay, peer):
            self.relay = relay
            self.peer = peer

        def connection_made(self, transport):
            self.transport = transport

        def datagram_received(self, data, address):
            if not self.relay.is_cut(self.peer):
                self.relay.transport.sendto(data, self.peer)

    def __init__(self, site, node):
        self.site = site
        self.node = node
        self.backs = {}

    async def start(self):
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=("127.0.0.1", 0)
        )
        self.port = self.transport.get_extra_info("sockname")[1]

    def is_cut(self, peer):
        other = self.site.by_internal_port.get(peer[1])
        return other is not None and self.site.is_cut(self.node, other)

    def datagram_received(self, data, address):
        if not self.is_cut(address):
            asyncio.ensure_future(self.forward(data, address))

    async def forward(self, data, address):
        back = self.backs.get(address)
        if back is None:
            loop = asyncio.get_running_loop()
            back = self.backs[address] = loop.create_task(self.open(address))
        if isinstance(back, asyncio.Task):
            back = await back
        back.transport.sendto(data, ("127.0.0.1", self.node.internal))

    async def open(self, address):
        loop = asyncio.get_running_loop()
        _, back = await loop.create_datagram_endpoint(
            lambda: Relay.Back(self, address), local_addr=("127.0.0.1", 0)
        )
        return back


# Clients


async def request(port, method, path, body=b"", headers=(), timeout=10.0):
    """Sends a request on a channel of its own; returns status and body."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", f"Content-Length: {len(body)}"]
        lines += [f"{name}: {value}" for name, value in headers]
        if body:
            lines.append("Content-Type: application/json")
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        await writer.drain()

        async def read():
            first, headers = await read_head(reader)
            return int(first.split(" ")[1]), await read_body(reader, headers)

        return await asyncio.wait_for(read(), timeout)
    finally:
        writer.close()


def job(tasks, ms, estimated_ms, cpu, **step):
    """A job whose caller waits for its end; `ms` is what its tasks really take."""
    spec = json.dumps({"ms": ms, "cpu": cpu})
    return {
        "spec": spec,
        "best_effort": True,
        "steps": [
            {"count": tasks, "cpu": cpu, "mem_mb": 256, "estimated_ms": estimated_ms, **step}
        ],
    }


class Site:
    """The whole site. `nodes` are (name, zone, share of a core); `executors` are (name, zone, kind, cores)."""

    def __init__(self, folder, seed):
        self.record = Record(os.path.join(folder, "record.txt"))
        self.temporary = tempfile.TemporaryDirectory(prefix="primrosestep-review-")
        self.folder = self.temporary.name
        self.random = random.Random(seed)
        self.store = Store()
        self.executors = []
        self.nodes = []
        self.starts = []
        self.jobs = {}
        self.next_job = 1
        self.busy = 0
        self.by_internal_port = {}
        self.cut_off = set()

    def is_cut(self, one, other):
        """Whether two nodes are cut off from each other."""
        return one is not other and (one.name in self.cut_off or other.name in self.cut_off)

    async def start(self, nodes, executors, document, relays=False):
        await self.store.start()
        await self.store.put("op/config", document)
        guards = document["services"][0]["enforces_capacity"]
        for name, zone, kind, cpu in executors:
            executor = Executor(self, name, zone, kind, cpu, guards)
            await executor.start()
            self.executors.append(executor)
        for name, zone, cores in nodes:
            gate = Gate(self.store)
            await gate.start()
            node = Node(self, name, zone, cores, gate)
            self.by_internal_port[node.internal] = node
            if relays:
                relay = Relay(self, node)
                await relay.start()
                node.document["reached_at"] = f"127.0.0.1:{relay.port}"
            node.start()
            self.nodes.append(node)
        until = time.monotonic() + 20
        for node in self.nodes:
            while not await node.is_ready():
                if time.monotonic() > until:
                    raise Unusable(f"{node.name} is not ready")
                await asyncio.sleep(0.05)
        # All nodes know each other and keep their executors.
        await asyncio.sleep(3)

    def started(self, executor, run, spec):
        entry = {
            "executor": executor,
            "born": executor.born,
            "up_since": executor.up_since,
            "kind": executor.kind,
            "cpu": executor.cpu,
            "resized": executor.resized,
            "used": executor.used(),
            "task": run.task,
            "run": run.number,
            "spec": spec,
            "begun": time.monotonic(),
            "ended": None,
            "how": None,
        }
        run.entry = entry
        self.starts.append(entry)
        self.record.write(
            "run-begins", id=executor.name, kind=executor.kind, task=run.task, run=run.number,
            used_cpu=executor.used(), of_cpu=executor.cpu,
        )

    def ended(self, executor, run, how):
        run.entry["ended"] = time.monotonic()
        run.entry["how"] = how
        self.record.write("run-ends", id=executor.name, task=run.task, run=run.number, how=how)

    def job_id(self):
        number, self.next_job = self.next_job, self.next_job + 1
        return f"{self.random.getrandbits(32):08x}{number:08x}"

    async def submit(self, node, name, document, remaining_ms=TIMEOUT_MS):
        """Sends a job once. Returns the status, or None if there was no answer."""
        self.record.write("job-sent", id=name, node=node.name)
        headers = [("X-Remaining-Milliseconds", str(remaining_ms))]
        self.busy += 1
        try:
            status, body = await request(
                node.front, "POST", PREFIX + name, json.dumps(document).encode(), headers,
                timeout=remaining_ms / 1000,
            )
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
            self.record.write("job-no-answer", id=name, node=node.name, why=type(error).__name__)
            return None
        finally:
            self.busy -= 1
        self.record.write("job-answer", id=name, node=node.name, status=status, body=body.decode())
        return status

    async def call(self, nodes, name, document, attempts=2, budget_ms=TIMEOUT_MS):
        """Sends a job, and again RESEND_MS after no answer, a broken channel, a 502 or a 504, as
        long as its time budget lasts."""
        self.jobs[name] = document
        until = time.monotonic() + budget_ms / 1000
        for attempt in range(attempts):
            left = int((until - time.monotonic()) * 1000)
            if left <= 0:
                return None
            status = await self.submit(nodes[attempt % len(nodes)], name, document, left)
            if status not in (None, 502, 504):
                return status
            await asyncio.sleep(RESEND_MS / 1000)
        return None

    def overlaps(self):
        """Pairs of runs of one task that ran at the same time, with the time in milliseconds."""
        tasks = {}
        for start in self.starts:
            tasks.setdefault(start["task"], []).append(start)
        now = time.monotonic()
        for starts in tasks.values():
            for index, first in enumerate(starts):
                for second in starts[index + 1 :]:
                    end = min(first["ended"] or now, second["ended"] or now)
                    length = end - max(first["begun"], second["begun"])
                    if length > 0:
                        yield first, second, round(length * 1000)

    def end(self):
        for node in self.nodes:
            node.end()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            os.makedirs(keep, exist_ok=True)
            for node in self.nodes:
                with open(node.log, "rb") as log, open(
                    os.path.join(keep, f"{node.name}.log"), "wb"
                ) as copy:
                    copy.write(log.read())
        self.record.close()
        self.temporary.cleanup()


def main(folder, case):
    """Runs a case and exits with its result: 0 if the rule held, 1 if it was broken, 2 if the case
    could not run. `case(site, trouble)` returns the list of violations."""
    folder = os.path.abspath(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    seed = int(os.environ.get("SEED", "1"))
    site = Site(folder, seed)

    def stop(*_):
        site.end()
        os._exit(2)

    signal.signal(signal.SIGTERM, stop)
    signal.signal(signal.SIGINT, stop)

    async def play():
        try:
            violations = await asyncio.wait_for(case(site, trouble), 110)
        except (Unusable, asyncio.TimeoutError, OSError) as error:
            print(f"the case could not run: {error!r}")
            stop()
        except BaseException:
            traceback.print_exc()
            stop()
        if not site.starts:
            print("the case could not run: no task was started")
            stop()
        for violation in violations:
            site.record.write("VIOLATION", text=violation)
            print(violation)
        result = 1 if violations else 0
        site.record.write("result", exit=result, trouble=int(trouble), runs=len(site.starts))
        print(f"{len(site.starts)} runs, {len(violations)} violations, exit {result}", flush=True)
        site.end()
        # The tasks that still wait are of no use.
        os._exit(result)

    asyncio.run(play())
