"""A small cell for the scripts of this review.

Stand-ins of the platform's store and of workers, written after PROTOCOL.md, a link that a case can
cut, callers, and `daisymast-node` processes started with the command of deploy/system.toml. Everything
listens on 127.0.0.1. Only the standard library of Python is used.
"""

import asyncio
import base64
import collections
import json
import os
import re
import shutil
import signal
import subprocess
import tempfile
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
HOST = "127.0.0.1"
CALLER_HOST = "jobs.example"
SERVICE = "desk"
HEARTBEAT_MS = 1500
MAX_HOLD_MS = 6000
STOP_MS = 900
GANG_TIMEOUT_MS = 3000
ALLOWED_TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class Record:
    """record.txt: what was sent, answered and run, with seconds from the start."""

    def __init__(self, path):
        self.started = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def __call__(self, text):
        self.file.write(f"{time.monotonic() - self.started:9.3f} {text}\n")
        self.file.flush()


async def wait_event(event, seconds):
    """Waits for an event for a limited time."""
    waiter = asyncio.ensure_future(event.wait())
    await asyncio.wait({waiter}, timeout=max(seconds, 0))
    waiter.cancel()


# HTTP ----------------------------------------------------------------------------------------------


class Reply(Exception):
    """Answer of a handler with a status other than 200."""

    def __init__(self, status, body=None):
        super().__init__(status)
        self.status = status
        self.body = body


async def read_message(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, found, value = line.partition(":")
        if found:
            headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    body = await reader.readexactly(length) if length else b""
    return lines[0], headers, body


class Server:
    """HTTP/1.1 server. `handler(method, path, query, headers, body)` returns an object or raises Reply."""

    def __init__(self, handler):
        self.handler = handler
        self.port = None
        self.writers = set()
        self.server = None

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.serve, HOST, port, limit=1 << 24)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def stop(self):
        """Closes the listener and resets all connections, as the end of the process does."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, target, _ = first.split(" ", 2)
                parts = urllib.parse.urlsplit(target)
                query = dict(urllib.parse.parse_qsl(parts.query, keep_blank_values=True))
                status = 200
                try:
                    answer = await self.handler(method, parts.path, query, headers, body)
                except Reply as reply:
                    status, answer = reply.status, reply.body
                data = b"" if answer is None else json.dumps(answer).encode()
                head = f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {len(data)}\r\n\r\n"
                writer.write(head.encode() + data)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.transport.abort()


async def call(port, method, path, body=None, host=None, timeout=3.0):
    """One request on a connection of its own. Returns (status, body); status 0 without an answer."""

    async def exchange():
        reader, writer = await asyncio.open_connection(HOST, port)
        try:
            data = b"" if body is None else json.dumps(body).encode()
            head = f"{method} {path} HTTP/1.1\r\nHost: {host or HOST}\r\nContent-Type: application/json\r\n"
            head += f"Deadline-Ms: {int(timeout * 1000)}\r\nContent-Length: {len(data)}\r\n\r\n"
            writer.write(head.encode() + data)
            await writer.drain()
            first, _, answer = await read_message(reader)
            status = int(first.split(" ")[1])
            try:
                return status, json.loads(answer) if answer else None
            except ValueError:
                return status, answer.decode("utf-8", "replace")
        finally:
            writer.transport.abort()

    task = asyncio.ensure_future(exchange())
    done, _ = await asyncio.wait({task}, timeout=timeout)
    if not done:
        task.cancel()
        return 0, None
    try:
        return task.result()
    except (OSError, EOFError):
        return 0, None


# Links ---------------------------------------------------------------------------------------------


class Link:
    """TCP proxy. While `cut`, it holds what it has read; what is held when an end closes is lost."""

    def __init__(self, target_port):
        self.target_port = target_port
        self.open = asyncio.Event()
        self.open.set()
        self.port = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, HOST, 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    def cut(self):
        self.open.clear()

    def heal(self):
        self.open.set()

    async def serve(self, reader, writer):
        await self.open.wait()
        try:
            far_reader, far_writer = await asyncio.open_connection(HOST, self.target_port)
        except OSError:
            writer.transport.abort()
            return

        async def pump(source, sink):
            try:
                while data := await source.read(1 << 16):
                    await self.open.wait()
                    sink.write(data)
                    await sink.drain()
            except (ConnectionError, asyncio.CancelledError):
                pass

        pumps = [asyncio.ensure_future(pump(reader, far_writer)), asyncio.ensure_future(pump(far_reader, writer))]
        await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
        for task in pumps:
            task.cancel()
        writer.transport.abort()
        far_writer.transport.abort()


# The platform's store ------------------------------------------------------------------------------


class Store:
    """Key-value store of PROTOCOL.md. Answers after 4 ms, as the sites say."""

    ANSWER_S = 0.004
    HISTORY = 20000

    def __init__(self):
        self.items = {}
        self.revision = 1
        self.changes = collections.deque()
        self.compacted = 0
        self.busy = False  # answers 503 and does nothing
        self.changed = asyncio.Event()
        self.server = Server(self.handle)

    async def start(self):
        await self.server.start()
        self.port = self.server.port
        return self

    def get(self, key):
        item = self.items.get(key)
        return None if item is None else item["value"]

    async def put(self, key, value):
        self.write(key, value)
        self.notify()

    async def remove(self, key):
        self.delete(key)
        self.notify()

    def notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def note(self, change):
        self.changes.append(change)
        while len(self.changes) > self.HISTORY:
            self.compacted = self.changes.popleft()["revision"]

    def write(self, key, value, revision=None):
        self.revision = revision or self.revision + 1
        before = self.items.get(key)
        item = {
            "key": key,
            "value": value,
            "revision": self.revision,
            "created": before["created"] if before else self.revision,
            "lease": 0,
        }
        self.items[key] = item
        self.note(item)

    def delete(self, key, revision=None):
        if key in self.items:
            del self.items[key]
            self.revision = revision or self.revision + 1
            self.note({"key": key, "revision": self.revision, "deleted": True})

    @staticmethod
    def encode(item):
        if item.get("deleted"):
            return item
        return {**item, "value": base64.b64encode(item["value"]).decode()}

    async def handle(self, method, path, query, headers, body):
        await asyncio.sleep(self.ANSWER_S)
        if self.busy:
            raise Reply(503)
        if path == "/v1/kv-key":
            item = self.items.get(query["key"])
            if item is None:
                raise Reply(404)
            return {**self.encode(item), "current_rev": self.revision}
        if path == "/v1/kv-range":
            return self.page(query["prefix"], query.get("after", ""))
        if path == "/v1/kv-watch":
            return await self.watch(query["prefix"], int(query["after"]), int(query["wait_ms"]) / 1000)
        if path == "/v1/kv-txn":
            return await self.transact(json.loads(body))
        raise Reply(404)

    def page(self, prefix, after):
        keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
        page, size = [], 0
        for key in keys:
            size += len(self.items[key]["value"])
            if len(page) >= 500 or (page and size > 1_000_000):
                break
            page.append(self.encode(self.items[key]))
        return {"items": page, "has_more": len(page) < len(keys), "current_rev": self.revision}

    async def watch(self, prefix, after, wait):
        deadline = time.monotonic() + wait
        while True:
            if after < self.compacted:
                raise Reply(410)
            events = self.events(prefix, after)
            if events or time.monotonic() >= deadline:
                return {"events": events, "current_rev": self.revision}
            await wait_event(self.changed, deadline - time.monotonic())

    def events(self, prefix, after):
        found = []
        for change in reversed(self.changes):
            if change["revision"] <= after:
                break
            if change["key"].startswith(prefix):
                found.append(self.encode(change))
        return found[::-1]

    async def transact(self, body):
        expect, put, remove = body.get("expect", []), body.get("put", []), body.get("remove", [])
        if len(expect) + len(put) + len(remove) > 32:
            raise Reply(400)
        for row in expect:
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                held = [self.items[row["key"]] for row in expect if row["key"] in self.items]
                raise Reply(412, {"items": [self.encode(item) for item in held]})
        revision = self.revision + 1
        for row in put:
            self.write(row["key"], base64.b64decode(row["value"]), revision)
        for key in remove:
            self.delete(key, revision)
        self.notify()
        return {"revision": self.revision}

    async def configure(self, version, routes):
        """Writes `op/config` as the operator does. `routes` are (name, fields that differ)."""
        rows = []
        for name, fields in routes:
            row = {
                "name": name,
                "host": CALLER_HOST,
                "prefix": f"/{name}/",
                "kind": "non_idempotent",
                "timeout_ms": 3000,
                "target_latency_ms": 1000,
                "priority": 1,
                "service": SERVICE,
                "max_attempts": 4,
                "stretch": 4.0,
            }
            row.update(fields)
            rows.append(row)
        services = [{"name": SERVICE, "health_path": "/health", "max_conns": 64, "admission_check": False, "standby": False}]
        config = {"version": version, "routes": rows, "services": services, "limits": {}}
        await self.put("op/config", json.dumps(config).encode())


# Workers -------------------------------------------------------------------------------------------


class Run:
    def __init__(self, run_id, spec, step, started_ms, checkpoint):
        self.run_id = run_id
        self.spec = spec
        self.step = step
        self.started_ms = started_ms
        self.checkpoint = checkpoint
        self.stop_at = None

    def work_ms(self):
        """What the stand-in does is said by the job's `spec`: "work=MS", "fail=MS" or "lasts"."""
        kind, _, value = self.spec.partition("=")
        return kind, int(value or 0)


class Worker:
    """One machine; each start of it is a new life under the same id. It starts whatever it is told to."""

    TICK_S = 0.005

    def __init__(self, store, record, number, zone, cpu=32000, mem_mb=65536, kind="a"):
        self.store, self.record = store, record
        self.id = f"i-{number:010x}"
        self.zone = zone
        self.rack = f"r-{zone}"
        self.cpu, self.mem_mb, self.kind = cpu, mem_mb, kind
        self.port = None
        self.server = None
        self.tasks = []
        self.starts = []  # (seconds, task, run)
        self.ends = []  # (seconds, task, run, how)
        self.noted = []  # ends that `last_seen` has reached: (task, run, how)
        self.up = False

    async def start(self, registered=True):
        self.born = int(time.time() * 1000)
        self.boot = time.monotonic()
        self.token = 0
        self.lease_end = 0
        self.running = {}
        self.ended = []
        self.last_end = 0
        self.finished = {}
        self.seq = 0
        self.end_event = asyncio.Event()
        self.server = await Server(self.handle).start(self.port or 0)
        self.port = self.server.port
        self.up = True
        self.tasks = [asyncio.ensure_future(self.tick())]
        self.record(f"worker {self.id} is up: {self.cpu} cpu, kind {self.kind}, born {self.born}")
        if registered:
            await self.register()
            self.tasks.append(asyncio.ensure_future(self.heartbeats()))

    async def crash(self):
        self.up = False
        for task in self.tasks:
            task.cancel()
        lost = [(task, run.run_id) for task, run in self.running.items()]
        self.running = {}
        await self.server.stop()
        self.record(f"worker {self.id} crashes; lost with it: {lost}")

    async def register(self, state="ready"):
        if self.store.busy:
            return
        self.seq += 1
        entry = {
            "service": SERVICE,
            "address": f"{HOST}:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": state,
            "cold_left_ms": 0,
            "capacity": {"cpu": self.cpu, "mem_mb": self.mem_mb, "gpus": 0},
            "labels": [self.kind, self.rack],
            "clock_ms": self.clock(),
            "seq": self.seq,
            "born": self.born,
        }
        await self.store.put(f"servers/{self.id}", json.dumps(entry).encode())

    async def heartbeats(self):
        while True:
            await asyncio.sleep(HEARTBEAT_MS / 1000)
            await self.register()

    def clock(self):
        return int((time.monotonic() - self.boot) * 1000)

    def used_cpu(self):
        return sum(run.step["cpu"] for run in self.running.values())

    async def tick(self):
        while True:
            await asyncio.sleep(self.TICK_S)
            self.advance()

    def advance(self):
        now = self.clock()
        for task, run in list(self.running.items()):
            kind, work = run.work_ms()
            if now >= self.lease_end:
                self.end(task, "lapsed")
            elif run.stop_at is not None and now >= run.stop_at:
                self.end(task, "stopped")
            elif kind in ("work", "fail") and now >= run.started_ms + work:
                self.end(task, "done" if kind == "work" else "failed")

    def end(self, task, how):
        run = self.running.pop(task)
        self.last_end += 1
        self.ended.append([self.last_end, task, run.run_id, how, ""])
        self.finished[task] = max(self.finished.get(task, 0), run.run_id)
        self.ends.append((time.monotonic(), task, run.run_id, how))
        self.record(f"worker {self.id}: {task} run {run.run_id} ends: {how}")
        self.end_event.set()
        self.end_event = asyncio.Event()

    def answer(self, reason=None):
        body = {"clock_ms": self.clock(), "born": self.born}
        if reason:
            raise Reply(409, {**body, "reason": reason})
        return body

    async def handle(self, method, path, query, headers, body):
        if path == "/health":
            return {}
        if headers.get("expected-instance", self.id) != self.id:
            raise Reply(421)
        body = json.loads(body)
        token = body.get("fencing_token", 0)
        if token < self.token:
            self.answer("fence")
        self.token = token
        self.advance()
        if path == "/v1/run-start":
            return self.run_start(body)
        if path == "/v1/run-stop":
            return self.run_stop(body)
        if path == "/v1/hold":
            return await self.hold(body)
        raise Reply(404)

    def grant(self, deadline):
        self.lease_end = max(self.lease_end, min(deadline, self.clock() + MAX_HOLD_MS))

    def run_start(self, body):
        task, run_id = body["task"], body["run_id"]
        present = self.running.get(task)
        if present and present.run_id == run_id:
            self.grant(body["deadline_ms"])
            return self.answer()
        if body["deadline_ms"] <= self.clock():
            self.answer("late")
        self.grant(body["deadline_ms"])
        if present or run_id <= self.finished.get(task, 0):
            self.answer("old")
        spec, step = JOBS.get(task.split(".")[0], (body["spec"], None))
        step = step[int(task.split(".")[2])] if step else {"cpu": 0}
        self.running[task] = Run(run_id, body["spec"], step, self.clock(), body.get("last_checkpoint"))
        self.starts.append((time.monotonic(), task, run_id))
        self.record(
            f"worker {self.id}: start of {task} run {run_id} under token {body['fencing_token']}; "
            f"cpu in use {self.used_cpu()} of {self.cpu}"
        )
        return self.answer()

    def run_stop(self, body):
        task, run_id = body["task"], body["run_id"]
        self.finished[task] = max(self.finished.get(task, 0), run_id)
        run = self.running.get(task)
        if run and run.run_id <= run_id and run.stop_at is None:
            run.stop_at = self.clock() + STOP_MS // 3
            self.record(f"worker {self.id}: stop of {task} run {run_id}")
        return self.answer()

    def forget(self, last_seen):
        for row in self.ended:
            # An end isn't taken note of if the lease has lapsed since.
            if row[0] <= last_seen and self.clock() < self.lease_end:
                self.noted.append((row[1], row[2], row[3]))
        self.ended = [row for row in self.ended if row[0] > last_seen]

    async def hold(self, body):
        if "deadline_ms" in body:
            self.grant(body["deadline_ms"])
        self.forget(body.get("last_seen", 0))
        deadline = time.monotonic() + min(body.get("wait_ms", 0), 2000) / 1000
        while not self.ended and time.monotonic() < deadline:
            await wait_event(self.end_event, deadline - time.monotonic())
        return {
            **self.answer(),
            "running": [self.row(task, run) for task, run in self.running.items()],
            "ended": self.ended[:500],
        }

    def row(self, task, run):
        kind, work = run.work_ms()
        done = 100 if kind == "lasts" else min(99, (self.clock() - run.started_ms) * 100 // max(work, 1))
        return [task, run.run_id, "", done, run.step["cpu"]]


# Jobs and callers ----------------------------------------------------------------------------------

JOBS = {}  # id: (spec, steps), as submitted
_last_job = 0


def job(spec, steps):
    """Chooses an id for a new job. Steps are the rows of a submission."""
    global _last_job
    _last_job += 1
    name = f"{(os.getpid() << 24) + _last_job:016x}"
    JOBS[name] = (spec, steps)
    return name


# Node processes ------------------------------------------------------------------------------------


def free_ports(count):
    import socket

    sockets = [socket.socket() for _ in range(count)]
    for each in sockets:
        each.bind((HOST, 0))
    ports = [each.getsockname()[1] for each in sockets]
    for each in sockets:
        each.close()
    return ports


def node_command():
    text = open(os.path.join(ROOT, "deploy", "system.toml"), encoding="utf-8").read()
    return re.search(r'^run = "([^"]+)"', text, re.M).group(1).split()


SETTINGS = """node_name = "{name}"
role = "node"
machine_class = "edge"
serves = ["edge","control_plane"]
ip = "127.0.0.1"
zone = "{zone}"
region = "r"
seeds = [{seeds}]
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeat_ms = 1500
contracts = ["base","drain","config","cost","recover","sched","platform","advice","upkeep","sharing"]
orders = "call"
[zones]
a = "r"
b = "r"
c = "r"
[listen]
front = "127.0.0.1:{front}"
ready = "127.0.0.1:{ready}"
control = "127.0.0.1:{control}"
[limits]
cpu_share = 0.25
cores = 1
memory_mb = 260
max_fds = 4100
[bounds]
contact_ms = 3000
ack_ms = 4000
drain_ms = 2000
grace_s = 6
config_apply_ms = 2000
max_hold_ms = 6000
stop_ms = 900
gang_timeout_ms = 3000
cancel_ms = 3000
visible_ms = 3000
finish_s = 14
status_s = 120
far_factor = 2
[platform]
address = "127.0.0.1:{store}"
form = "kv"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
min_ttl_ms = 1000
"""


class Node:
    def __init__(self, number, zone, ports, store_link, folder, record):
        self.name = f"edge-{zone}-{number}"
        self.zone = zone
        self.front, self.ready, self.control = ports
        self.store_link = store_link
        self.path = os.path.join(folder, f"{self.name}.toml")
        self.log = os.path.join(folder, f"{self.name}.log")
        self.record = record
        self.process = None

    def start(self, seeds):
        text = SETTINGS.format(
            name=self.name,
            zone=self.zone,
            seeds=",".join(f'"127.0.0.1:{port}"' for port in seeds),
            front=self.front,
            ready=self.ready,
            control=self.control,
            store=self.store_link.port,
        )
        with open(self.path, "w", encoding="utf-8") as file:
            file.write(text)
        env = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        env["DAISYMAST_CONFIG"] = self.path
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(
                node_command(), cwd=ROOT, env=env, stdin=subprocess.DEVNULL, stdout=log, stderr=log
            )
        self.record(f"node {self.name} starts")

    def signal(self, number):
        if self.process and self.process.poll() is None:
            self.process.send_signal(number)
            self.record(f"node {self.name} gets {signal.Signals(number).name}")


class Cell:
    def __init__(self, record):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="daisymast-review-")
        self.nodes, self.workers = [], []

    async def start(self, zones, workers, routes, worker_options=None):
        self.store = await Store().start()
        ports = free_ports(3 * len(zones))
        for number, zone in enumerate(zones):
            link = await Link(self.store.port).start()
            mine = ports[3 * number : 3 * number + 3]
            self.nodes.append(Node(number + 1, zone, mine, link, self.folder, self.record))
        for number in range(workers):
            worker = Worker(self.store, self.record, number + 1, "abc"[number % 3], **(worker_options or {}))
            await worker.start()
            self.workers.append(worker)
        await self.store.configure(1, routes)
        self.seeds = [node.control for node in self.nodes[:3]]
        for node in self.nodes:
            node.start(self.seeds)
        for node in self.nodes:
            await self.until(lambda: self.is_ready(node), 20, f"{node.name} is ready")

    @staticmethod
    async def is_ready(node):
        return (await call(node.ready, "GET", "/v1/ready", timeout=0.5))[0] == 200

    async def until(self, condition, seconds, what):
        """Waits for a condition; without it the case could not run."""
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            if await condition():
                return
            await asyncio.sleep(0.05)
        raise CannotRun(f"not within {seconds} s: {what}")

    def leader(self):
        value = self.store.get("daisymast/leader")
        name = json.loads(value)["node"]["id"] if value else None
        return next((node for node in self.nodes if node.name == name), None)

    async def submit(self, node, queue, name, attempts=5, pause_s=0.6, host=CALLER_HOST):
        """Hands a job in at a node, four times again after no answer, 502, 503 or 504. Returns the last status."""
        spec, steps = JOBS[name]
        status = 0
        for _ in range(attempts):
            status, _ = await call(node.front, "POST", f"/{queue}/{name}", {"spec": spec, "steps": steps}, host)
            self.record(f"POST /{queue}/{name} at {node.name} ({spec}): {status or 'no answer'}")
            if status not in (0, 502, 503, 504):
                break
            await asyncio.sleep(pause_s)
        return status

    async def state(self, node, queue, name):
        status, body = await call(node.front, "GET", f"/{queue}/{name}", host=CALLER_HOST)
        state = body.get("state") if status == 200 and isinstance(body, dict) else None
        self.record(f"GET /{queue}/{name} at {node.name}: {status or 'no answer'} {state or ''}")
        return status, state

    async def wait_state(self, node, queue, name, wanted, seconds):
        """Asks for a job's state until it is the wanted one. Returns the last answer."""
        deadline = time.monotonic() + seconds
        while True:
            status, state = await self.state(node, queue, name)
            if state == wanted or time.monotonic() >= deadline:
                return status, state
            await asyncio.sleep(0.25)

    def runs(self, name):
        """All starts of a job's tasks, over all workers: (seconds, worker, task, run)."""
        found = []
        for worker in self.workers:
            found += [(at, worker, task, run) for at, task, run in worker.starts if task.startswith(name)]
        return sorted(found, key=lambda row: row[0])

    def running(self, name):
        return sum(1 for worker in self.workers for task in worker.running if task.startswith(name))

    async def stop(self):
        for node in self.nodes:
            if node.process and node.process.poll() is None:
                node.process.send_signal(signal.SIGCONT)
                node.process.kill()
        for node in self.nodes:
            if node.process:
                node.process.wait()
        if os.environ.get("KEEP"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


class CannotRun(Exception):
    """A case did not come as far as its check."""


def main(folder, case, limit_s=110):
    """Runs `case(cell, record, trouble)`, which returns a text if the rule was broken. Exit codes as the issue asks."""
    record = Record(os.path.join(folder, "record.txt"))
    record(f"TROUBLE={int(ALLOWED_TROUBLE)}")

    def finish(code, text):
        record(text)
        print(text, flush=True)
        # Connections that are still open need no orderly end.
        os._exit(code)

    async def run():
        cell = Cell(record)
        task = asyncio.ensure_future(case(cell, record, ALLOWED_TROUBLE))
        await asyncio.wait({task}, timeout=limit_s)
        await cell.stop()
        if not task.done():
            finish(2, f"could not run: not finished after {limit_s} s")
        try:
            broken = task.result()
        except (CannotRun, OSError) as error:
            finish(2, f"could not run: {error!r}")
        finish(1 if broken else 0, f"BROKEN: {broken}" if broken else "the rule held")

    asyncio.run(run())
