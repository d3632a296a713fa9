"""Small cell for the review's scripts: stand-ins of the platform on loopback, and real nodes.

The store, the workers and the clients are stand-ins that follow the users' pages. The nodes are the
program of deploy/system.toml, started with a settings file named by DAISYMAST_CONFIG. Everything that
is sent, answered and run is written to record.txt.
"""
import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(os.path.dirname(HERE))
PROGRAM = os.path.join("target", "release", "daisymast-node")

# Bounds of the users' small sites (SYSTEM.md).
STOP_MS = 900
MAX_HOLD_MS = 6000
FINISH_S = 14
HEARTBEAT_S = 1.5
VALUE_BYTES = 1048576
STORE_ANSWER_S = 0.004
HOST = "jobs.example"
SERVICE = "crewdesk"


class CannotRun(Exception):
    """The case could not be set up; says nothing about the rule."""


class Record:
    """Time-stamped lines of what was sent, answered and run."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.started = time.monotonic()

    def now(self):
        return time.monotonic() - self.started

    def __call__(self, *words):
        self.file.write("%8.3f  %s\n" % (self.now(), " ".join(str(word) for word in words)))
        self.file.flush()


def free_port(host):
    """A free port of a loopback address. Only the nodes of this cell listen on it, and outgoing
    connections use another address, so nothing takes the port before the node does."""
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


# --- HTTP ------------------------------------------------------------------------------------


async def read_message(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return lines[0], headers, body


class Server:
    """HTTP/1.1 server; `handler(method, path, query, headers, body)` returns a status and a value.

    A handler that returns None leaves the call without an answer.
    """

    def __init__(self, handler, port=0):
        self.handler = handler
        self.port = port
        self.server = None
        self.connections = set()

    async def open(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port, backlog=512)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def serve(self, reader, writer):
        task = asyncio.current_task()
        self.connections.add(task)
        try:
            while True:
                line, headers, body = await read_message(reader)
                method, target, _ = line.split(" ")
                path, _, query = target.partition("?")
                query = dict(urllib.parse.parse_qsl(query))
                answer = await self.handler(method, path, query, headers, body)
                if answer is None:
                    await asyncio.sleep(3600)
                status, value = answer
                data = json.dumps(value).encode()
                writer.write(
                    b"HTTP/1.1 %d x\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                    % (status, len(data))
                    + data
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(task)
            writer.close()

    def close(self):
        """Closes the port and resets all connections."""
        if self.server:
            self.server.close()
        for task in list(self.connections):
            task.cancel()


async def call(host, port, method, path, body=None, headers=(), timeout=3.0):
    """One HTTP call on a connection of its own. Returns (status, body), or None without an answer."""

    async def exchange():
        reader, writer = await asyncio.open_connection(host, port)
        try:
            data = b"" if body is None else json.dumps(body).encode()
            head = "%s %s HTTP/1.1\r\nContent-Length: %d\r\n" % (method, path, len(data))
            if data:
                head += "Content-Type: application/json\r\n"
            for name, value in headers:
                head += "%s: %s\r\n" % (name, value)
            writer.write(head.encode() + b"\r\n" + data)
            line, _, answer = await read_message(reader)
            return int(line.split(" ")[1]), answer
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        return None


# --- The platform's store --------------------------------------------------------------------


class Store:
    """The platform's key-value store: linearizable, loses nothing, keeps its whole history."""

    def __init__(self, record):
        self.record = record
        self.items = {}
        self.revision = 1
        self.changes = []
        self.compacted = 0
        self.changed = asyncio.Event()
        self.answer_s = STORE_ANSWER_S
        self.deaf_until = 0.0
        self.refused_large = 0
        self.leaders = 0
        self.server = Server(self.serve)

    async def open(self):
        await self.server.open()
        return self

    @property
    def port(self):
        return self.server.port

    def put(self, key, value):
        self.revision += 1
        if key == "daisymast/leader":
            self.leaders += 1
        old = self.items.get(key)
        created = old["created"] if old else self.revision
        item = {"key": key, "value": base64.b64encode(value).decode(), "revision": self.revision,
                "created": created, "lease": 0}
        self.items[key] = item
        self.changes.append((self.revision, key, item))
        self.wake()

    def remove(self, key):
        if self.items.pop(key, None):
            self.revision += 1
            gone = {"key": key, "revision": self.revision, "deleted": True}
            self.changes.append((self.revision, key, gone))
            self.wake()

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    async def lose_history(self, deaf_s):
        """Watches hear nothing for `deaf_s`, then the history is dropped (`platform_compact`)."""
        self.deaf_until = time.monotonic() + deaf_s
        await asyncio.sleep(deaf_s)
        self.compacted = self.revision
        self.changes.clear()
        self.wake()

    async def serve(self, method, path, query, headers, body):
        await asyncio.sleep(self.answer_s)
        if path == "/v1/kv-key":
            item = self.items.get(query["key"])
            if item is None:
                return 404, {"current_rev": self.revision}
            return 200, dict(item, current_rev=self.revision)
        if path == "/v1/kv-range":
            return 200, self.page(query["prefix"], query.get("after", ""))
        if path == "/v1/kv-watch":
            wait = int(query.get("wait_ms", "0")) / 1000
            return await self.watch(query["prefix"], int(query["after"]), wait)
        if path == "/v1/kv-txn":
            return self.transact(json.loads(body))
        return 404, {}

    def page(self, prefix, after):
        items, size, more = [], 0, False
        for key in sorted(key for key in self.items if key.startswith(prefix) and key > after):
            item = self.items[key]
            if len(items) >= 500 or (items and size + len(item["value"]) * 3 // 4 > 1000000):
                more = True
                break
            size += len(item["value"]) * 3 // 4
            items.append(item)
        return {"items": items, "has_more": more, "current_rev": self.revision}

    async def watch(self, prefix, after, wait):
        until = time.monotonic() + wait
        while True:
            if after < self.compacted:
                return 410, {}
            if time.monotonic() >= self.deaf_until:
                events = [item for revision, key, item in self.changes
                          if revision > after and key.startswith(prefix)]
                if events or time.monotonic() >= until:
                    return 200, {"events": events, "current_rev": self.revision}
            left = max(until, self.deaf_until) - time.monotonic()
            try:
                await asyncio.wait_for(self.changed.wait(), max(0.001, left))
            except asyncio.TimeoutError:
                pass

    def transact(self, body):
        expect, put, remove = body.get("expect", []), body.get("put", []), body.get("remove", [])
        if len(expect) + len(put) + len(remove) > 32:
            return 400, {}
        values = [(row["key"], base64.b64decode(row["value"])) for row in put]
        if any(len(value) > VALUE_BYTES for _, value in values):
            self.refused_large += 1
            self.record("store refuses a value of",
                        max(len(value) for _, value in values), "bytes, more than value_bytes")
            return 400, {}
        for row in expect:
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                keys = [row["key"] for row in expect]
                return 412, {"items": [self.items[key] for key in keys if key in self.items]}
        for key, value in values:
            self.put(key, value)
        for key in remove:
            self.remove(key)
        return 200, {"revision": self.revision}


# --- Workers ---------------------------------------------------------------------------------


class Behaviour:
    """What the tasks of a job do on a worker."""

    def __init__(self, cpu, work_s=1.0, lasting=False, fails_after_s=None, requires=None):
        self.cpu = cpu
        self.work_s = work_s
        self.lasting = lasting
        self.fails_after_s = fails_after_s
        self.requires = requires


class Run:
    def __init__(self, worker, task, run, behaviour):
        self.worker = worker
        self.task = task
        self.run = run
        self.behaviour = behaviour
        self.begun = time.monotonic()
        self.stopping = False

    @property
    def percent(self):
        worked = time.monotonic() - self.begun
        if self.behaviour.lasting:
            return 100 if worked > 0.3 else 0
        return min(99, int(worked * 100 / self.behaviour.work_s))


class Worker:
    """A worker that starts whatever it is told to (`admission_check` false)."""

    def __init__(self, cell, name, zone, cpu=32000, mem=131072, kind="a", service=SERVICE):
        self.cell = cell
        self.id = name
        self.zone = zone
        self.cpu = cpu
        self.mem = mem
        self.kind = kind
        # The steady clock is 1% slow.
        self.clock_rate = 0.99
        self.is_cut = False
        self.service = service
        self.state = "ready"
        self.rack = "r-" + zone
        self.server = None
        self.port = 0
        self.up = False
        self.beat = None
        self.token = 0
        self.runs = {}

    async def start(self):
        """Starts a process of the worker: it holds and knows nothing of before."""
        self.born_ms = int(time.time() * 1000)
        self.begun = time.monotonic()
        self.token = 0
        self.runs = {}
        self.finished = {}
        self.ends = []
        self.count = 0
        self.seq = 0
        self.lease_end = 0
        self.ended = asyncio.Event()
        self.server = await Server(self.serve, self.port).open()
        self.port = self.server.port
        self.up = True
        self.beat = [asyncio.ensure_future(self.report()), asyncio.ensure_future(self.expire())]
        self.cell.record("worker", self.id, "is up:", self.cpu, "cpu, kind", self.kind)

    def crash(self, how="has crashed"):
        """Ends the process at once; it sends nothing."""
        self.up = False
        for task in self.beat:
            task.cancel()
        self.server.close()
        for run in list(self.runs.values()):
            self.cell.on_end(run, "lost")
        self.runs = {}
        self.cell.record("worker", self.id, how)

    def clock(self):
        return int((time.monotonic() - self.begun) * 1000 * self.clock_rate)

    async def leave(self, serve_s):
        """Reports `draining`, goes on for `serve_s`, then leaves; all that still runs here ends."""
        self.state = "draining"
        self.write()
        self.cell.record("worker", self.id, "is draining")
        await asyncio.sleep(serve_s)
        self.crash("has left")
        self.cell.store.remove("servers/" + self.id)

    async def report(self):
        while True:
            self.write()
            await asyncio.sleep(HEARTBEAT_S)

    def write(self):
        self.seq += 1
        entry = {"service": self.service, "address": "127.0.0.1:%d" % self.port, "zone": self.zone,
                 "version": "1", "slots": 8, "state": self.state, "cold_left_ms": 0,
                 "seq": self.seq, "capacity": {"cpu": self.cpu, "mem_mb": self.mem},
                 "labels": [self.kind, self.rack], "born": self.born_ms}
        if self.state == "draining":
            entry["remaining_ms"] = 1000
        self.cell.store.put("servers/" + self.id, json.dumps(entry).encode())

    async def expire(self):
        while True:
            await asyncio.sleep(0.02)
            if self.runs and self.clock() >= self.lease_end:
                for run in list(self.runs.values()):
                    self.end(run, "lapsed")

    def end(self, run, how):
        if self.runs.get(run.task) is not run:
            return
        del self.runs[run.task]
        self.finished[run.task] = max(run.run, self.finished.get(run.task, 0))
        self.count += 1
        self.ends.append([self.count, run.task, run.run, how, ""])
        self.ended.set()
        self.ended = asyncio.Event()
        self.cell.on_end(run, how)

    def later(self, seconds, run, how):
        async def finish():
            await asyncio.sleep(seconds)
            if self.up:
                self.end(run, how)

        asyncio.ensure_future(finish())

    async def serve(self, method, path, query, headers, body):
        if self.is_cut:
            return None
        if path == "/health":
            return 200, {}
        if headers.get("expected-instance", self.id) != self.id:
            return 421, {}
        body = json.loads(body)
        if body.get("fencing_token", 0) < self.token:
            return 409, {"clock_ms": self.clock(), "reason": "fence"}
        self.token = body.get("fencing_token", 0)
        if path == "/v1/hold":
            return await self.hold(body)
        if path == "/v1/run-start":
            return self.run_start(body)
        if path == "/v1/run-stop":
            return self.run_stop(body)
        return 404, {}

    def extend(self, body):
        if "deadline_ms" in body:
            deadline = min(body["deadline_ms"], self.clock() + MAX_HOLD_MS)
            self.lease_end = max(self.lease_end, deadline)

    async def hold(self, body):
        self.extend(body)
        self.ends = [end for end in self.ends if end[0] > body["last_seen"]]
        wait = min(body.get("wait_ms", 0), 2000) / 1000
        if not self.ends and wait:
            try:
                await asyncio.wait_for(self.ended.wait(), wait)
            except asyncio.TimeoutError:
                pass
        if self.is_cut:
            return None
        running = [[run.task, run.run, "", run.percent, 0] for run in self.runs.values()]
        return 200, {"clock_ms": self.clock(), "born": self.born_ms, "running": running,
                     "ended": self.ends[:500]}

    def run_start(self, body):
        task, run = body["task"], body["run_id"]
        known = self.runs.get(task)
        if known and known.run == run:
            self.extend(body)
            return 200, {"clock_ms": self.clock()}
        if body["deadline_ms"] <= self.clock():
            return 409, {"clock_ms": self.clock(), "reason": "late"}
        self.extend(body)
        if known or run <= self.finished.get(task, 0):
            return 409, {"clock_ms": self.clock(), "reason": "old"}
        behaviour = self.cell.behaviours[task.split(".")[0]]
        started = Run(self, task, run, behaviour)
        self.runs[task] = started
        if behaviour.fails_after_s is not None:
            self.later(behaviour.fails_after_s, started, "failed")
        elif not behaviour.lasting:
            self.later(behaviour.work_s, started, "done")
        self.cell.on_start(started)
        return 200, {"clock_ms": self.clock()}

    def run_stop(self, body):
        task = body["task"]
        self.finished[task] = max(body["run_id"], self.finished.get(task, 0))
        run = self.runs.get(task)
        if run and run.run <= body["run_id"] and not run.stopping:
            run.stopping = True
            self.later(STOP_MS / 3000, run, "stopped")
        return 200, {"clock_ms": self.clock()}

    def used(self):
        return sum(run.behaviour.cpu for run in self.runs.values())


# --- Nodes -----------------------------------------------------------------------------------

SETTINGS = """node_name = "{name}"
role = "node"
machine_class = "edge"
serves = ["edge","control_plane"]
ip = "{host}"
zone = "{zone}"
region = "tx-central"
port_range = [{front},{front}]
seeds = [{seeds}]
bootstrap = true
in_tolerance = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1500
contracts = ["base","drain","config","cost","recover","sched","platform","advice","upkeep","sharing"]
orders = "call"
[zones]
tx-austin = "tx-central"
tx-waco = "tx-central"
tx-temple = "tx-central"
[listen]
front = "{host}:{front}"
ready = "{host}:{ready}"
control = "{host}:{control}"
[limits]
cpu_share = 0.25
cores = 1
memory_mb = 260
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 2
zones = 1
regions = 0
[bounds]
seed_lag_s = 3
addr_reuse_s = 2
contact_ms = 3000
ack_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 6
loss_slack_ms = 200
config_apply_ms = 2000
rollback_slack_ms = 250
max_stretch_ms = 5000
recovery_s = 12
max_hold_ms = 6000
stop_ms = 900
gang_timeout_ms = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
far_factor = 2
checkpoint_s = 0.5
restore_ms = 600
notice_ms = 4500
move_s = 1.5
maintenance_s = 2
require_fencing = false
lease_ms = 3000
thaw_slack_ms = 300
pace_ms = 100
harm_ms = 4000
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
    """A process of the program that deploy/system.toml runs."""

    def __init__(self, cell, name, zone):
        self.cell = cell
        self.name = name
        self.zone = zone
        self.host = "127.%d.%d.%d" % (cell.network + (len(cell.hosts) + 1,))
        cell.hosts.append(self.host)
        self.front, self.ready, self.control = (free_port(self.host) for _ in range(3))
        self.process = None

    def start(self):
        seeds = ",".join('"%s:%d"' % (node.host, node.control) for node in self.cell.nodes[:3])
        path = os.path.join(self.cell.folder, self.name + ".toml")
        with open(path, "w") as file:
            file.write(SETTINGS.format(name=self.name, zone=self.zone, host=self.host, front=self.front,
                                       ready=self.ready, control=self.control, seeds=seeds,
                                       store=self.cell.store.port))
        log = open(os.path.join(self.cell.folder, self.name + ".log"), "a")
        self.process = subprocess.Popen([PROGRAM], cwd=ROOT, stdin=subprocess.DEVNULL, stdout=log,
                                        stderr=log, env={"PATH": os.environ.get("PATH", ""),
                                                         "DAISYMAST_CONFIG": path})
        log.close()
        self.cell.record("node", self.name, "is started")

    def signal(self, number):
        self.process.send_signal(number)
        self.cell.record("node", self.name, "gets", signal.Signals(number).name)

    def kill(self):
        self.signal(signal.SIGKILL)
        self.process.wait()


# --- The cell --------------------------------------------------------------------------------


class Cell:
    """Store, workers and nodes of one run of a case."""

    def __init__(self, record):
        self.record = record
        self.network = (random.randint(64, 254), random.randint(1, 254))
        self.hosts = []
        self.folder = tempfile.mkdtemp(prefix="daisymast-review-")
        self.store = None
        self.nodes = []
        self.workers = []
        self.behaviours = {}
        self.requests = 0
        self.open_runs = {}
        self.starts = []
        self.end_log = []
        self.over = []
        self.twice = []
        self.started = asyncio.Event()

    async def open(self, nodes, workers, routes, start_workers=True):
        self.store = await Store(self.record).open()
        self.workers = workers
        self.write_configuration(1, routes)
        self.nodes = [Node(self, name, zone) for name, zone in nodes]
        if start_workers:
            for worker in workers:
                await worker.start()
        for node in self.nodes:
            node.start()
        await self.wait_until_ready()

    def write_configuration(self, version, routes):
        config = {
            "version": version,
            "routes": [dict(route, host=HOST, prefix="/%s/" % route["name"]) for route in routes],
            "services": [{"name": name, "standby": False, "admission_check": False}
                         for name in sorted({worker.service for worker in self.workers})],
            "limits": {},
        }
        self.store.put("op/config", json.dumps(config).encode())
        self.record("configuration", version, {route["name"]: route["service"] for route in routes})

    async def wait_until_ready(self):
        until = time.monotonic() + 10
        while time.monotonic() < until:
            answers = [await call(node.host, node.ready, "GET", "/v1/ready", timeout=1) for node in self.nodes]
            if all(answer and answer[0] == 200 for answer in answers):
                self.record("all nodes are ready")
                return
            await asyncio.sleep(0.1)
        raise CannotRun("the nodes are not ready within 10 s")

    def leader(self):
        item = self.store.items.get("daisymast/leader")
        if not item:
            return None
        name = json.loads(base64.b64decode(item["value"]))["node"]["id"]
        return next((node for node in self.nodes if node.name == name), None)

    def on_start(self, run):
        for other in self.open_runs.values():
            if other.task == run.task and other.worker.up:
                self.twice.append((run, other))
        self.open_runs[(run.worker.id, run.task, run.run)] = run
        self.starts.append((time.monotonic(), run))
        self.started.set()
        self.record("start", run.task, "run", run.run, "on", run.worker.id, "cpu", run.behaviour.cpu,
                    "in use", run.worker.used(), "of", run.worker.cpu)
        if run.worker.used() > run.worker.cpu:
            self.over.append((run, run.worker.used(), run.worker.cpu))

    def on_end(self, run, how):
        self.open_runs.pop((run.worker.id, run.task, run.run), None)
        self.end_log.append((time.monotonic(), run, how))
        self.record("end", run.task, "run", run.run, "on", run.worker.id, how)

    def running(self, job):
        return [run for run in self.open_runs.values() if run.task.startswith(job + ".")]

    async def submit(self, queue, steps, behaviour, spec="text", nodes=None, attempts=4):
        """Hands a job in as a sound client does. Returns its ID, or None if it was not accepted."""
        job = "%016x" % random.getrandbits(64)
        self.behaviours[job] = behaviour
        for _ in range(attempts):
            node = random.choice(nodes or [node for node in self.nodes if node.process.poll() is None])
            answer = await self.request(node, "POST", queue, job, {"spec": spec, "steps": steps})
            if answer and 200 <= answer[0] < 300:
                return job
            await asyncio.sleep(1.0 if answer and answer[0] in (429, 503) else 0.3)
        return None

    async def state(self, node, queue, job):
        answer = await self.request(node, "GET", queue, job)
        if answer and answer[0] == 200:
            return json.loads(answer[1])["state"]
        return "%s" % (answer[0] if answer else "no answer")

    async def request(self, node, method, queue, job, body=None):
        path = "/%s/%s" % (queue, job)
        self.record("sent", method, path, "to", node.name)
        answer = await call(node.host, node.front, method, path, body, [("Host", HOST), ("Deadline-Ms", "3000")])
        self.record("answered", method, path, "by", node.name, answer[0] if answer else "nothing",
                    answer[1][:60].decode("latin-1") if answer and method == "GET" else "")
        return answer

    def close(self):
        for node in self.nodes:
            if node.process and node.process.poll() is None:
                node.process.kill()
                node.process.wait()
        for worker in self.workers:
            if worker.server:
                worker.server.close()
        if os.environ.get("KEEP"):
            print("logs:", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def step(count, cpu, seconds, **more):
    """A step; fields whose value is 0 are omitted, such as the estimate of a task that lasts."""
    fields = {"count": count, "cpu": cpu, "mem_mb": 256}
    if seconds:
        fields["est_duration_ms"] = seconds * 1000
    return dict(fields, **more)


def route(name, priority, service=SERVICE):
    return {"name": name, "priority": priority, "service": service, "max_attempts": 4,
            "stretch": 4.0, "target_latency_ms": 3000}


def main(case, limit_s=110):
    """Runs `case(cell, trouble)`, which returns what broke the rule. Exits with 1, 0 or 2."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(os.path.join(os.path.dirname(os.path.abspath(sys.argv[0])), "record.txt"))
    record("trouble" if trouble else "no trouble")
    if not os.access(os.path.join(ROOT, PROGRAM), os.X_OK):
        record("cannot run:", PROGRAM, "is not built")
        print("cannot run:", PROGRAM, "is not built")
        return 2

    async def play():
        cell = Cell(record)
        try:
            return await asyncio.wait_for(case(cell, trouble), limit_s)
        finally:
            cell.close()

    def on_term(number, frame):
        raise CannotRun("stopped by signal %d" % number)

    signal.signal(signal.SIGTERM, on_term)
    try:
        broken = asyncio.run(play())
    except (CannotRun, OSError, asyncio.TimeoutError) as error:
        record("cannot run:", repr(error))
        print("cannot run:", repr(error))
        return 2
    for line in broken:
        record("BROKEN", line)
        print("BROKEN", line)
    if not broken:
        record("the rule held")
        print("the rule held")
    return 1 if broken else 0


class Idle:
    """Longest time for which a task had nothing running although there was room for it twice over."""

    def __init__(self, cell, task, cpu, under_half, service=SERVICE):
        self.cell = cell
        self.service = service
        self.task = task
        self.cpu = cpu
        self.under_half = under_half
        self.longest = 0.0
        self.window = None
        self.max_used = 0.0

    def room(self):
        workers = [worker for worker in self.cell.workers
                   if worker.up and worker.state == "ready" and worker.service == self.service]
        places = sum(max(0, worker.cpu - worker.used()) // self.cpu for worker in workers)
        total = sum(worker.cpu for worker in workers)
        used = sum(worker.used() for worker in workers)
        return places, used / total if total else 1.0

    async def watch(self, begin, end):
        """Looks every 20 ms from `begin` to `end`, in seconds of the record."""
        record = self.cell.record
        await asyncio.sleep(max(0.0, begin - record.now()))
        since = None
        while record.now() < end:
            places, used = self.room()
            runs = [run for run in self.cell.open_runs.values() if run.task.startswith(self.task)]
            idle = not runs and places >= 2 and (used < 0.5 or not self.under_half)
            now = record.now()
            if not idle:
                since = None
            else:
                since = now if since is None else since
                if now - since > self.longest:
                    self.longest, self.window = now - since, (since, now)
                self.max_used = max(self.max_used, used)
            await asyncio.sleep(0.02)
        record("watched", self.task, "from %.1f to %.1f s:" % (begin, end),
               "at most %.2f s idle with room for it twice over" % self.longest)
        return self
