"""Stand-ins for the users' platform, and a small fleet of the project's programs.

One asyncio process holds the store, the runners, the requesters and the
platform's process starter. The programs under test are started as separate
processes with the commands of deploy/system.toml and with settings that are
rendered from its templates.
"""

import asyncio
import base64
import ctypes
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
import tomllib
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
# A loopback address of its own keeps two scripts from taking each other's ports.
HOST = f"127.{1 + os.getpid() % 250}.{1 + os.getpid() // 250 % 250}.1"
SERVICE = "pricing"
CALLER_HOST = "queues.example"

# The figures of sites/tagasi-tallinn.toml.
CONTACT_S = 3.0
CANCEL_S = 3.0
VISIBLE_S = 3.0
FINISH_S = 14.0
STOP_S = 0.05  # a stop takes at most stopTimeoutMs, 200 ms
MAX_HOLD_MS = 10000
BEAT_S = 1.1
BEAT_RETRY_S = 0.25  # after a liveness report that wasn't acknowledged
TRANSACTION_S = 0.008
HISTORY_S = 20.0
LASTS_MS = 1000000  # a task of such a duration lasts until it is stopped
BOUNDS = {
    "graceS": 6, "status_s": 120, "cancel_ms": 3000, "stopTimeoutMs": 200,
    "restoreMs": 250, "checkpointS": 1, "farFactor": 1.5, "maxHoldMs": MAX_HOLD_MS,
}


def now():
    return time.monotonic()


drawn = set()


def free_port():
    """A port below those that the system gives to outgoing connections, so that a
    program finds its port free when it is started again."""
    while True:
        port = random.randrange(12000, 30000)
        with socket.socket() as probe:
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
        if port not in drawn:
            drawn.add(port)
            return port


class Record:
    """The account of a run: what was sent, answered and run."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.start = now()

    def __call__(self, text):
        line = f"{now() - self.start:8.3f} {text}"
        print(line, file=self.file, flush=True)

    def close(self):
        self.file.close()


# HTTP/1.1


class Request:
    def __init__(self, method, target, headers, body):
        self.method = method
        self.headers = headers
        self.raw = body
        path, _, query = target.partition("?")
        self.path = path
        self.query = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))

    def json(self):
        return json.loads(self.raw) if self.raw else {}


class NoAnswer(Exception):
    """The stand-in leaves the call unanswered."""


async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def serve(port, handler):
    """Serves handler(request) -> (status, object) on a loopback port."""

    async def connection(reader, writer):
        try:
            while True:
                line, headers = await read_head(reader)
                method, target, _ = line.split(" ")
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                try:
                    status, answer = await handler(Request(method, target, headers, body))
                except NoAnswer:
                    await reader.read()  # until the peer gives up
                    return
                data = json.dumps(answer).encode()
                writer.write(
                    f"HTTP/1.1 {status} -\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode() + data
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(connection, HOST, port, backlog=256)


async def call(port, method, path, body=None, timeout=3.0, headers=None):
    """Returns (status, object); status 0 without an answer."""

    async def exchange():
        reader, writer = await asyncio.open_connection(HOST, port)
        try:
            data = b"" if body is None else json.dumps(body).encode()
            lines = [f"{method} {path} HTTP/1.1"]
            fields = {"Host": CALLER_HOST, "Content-Type": "application/json",
                      "Content-Length": str(len(data)), "Connection": "close"}
            fields.update(headers or {})
            lines += [f"{name}: {value}" for name, value in fields.items()]
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + data)
            await writer.drain()
            line, answer = await read_head(reader)
            raw = await reader.readexactly(int(answer.get("content-length", 0)))
            return int(line.split(" ")[1]), (json.loads(raw) if raw else {})
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (asyncio.TimeoutError, OSError, asyncio.IncompleteReadError):
        return 0, {}


# The platform's store


class Store:
    """Linearizable rows, a change feed and transactions under conditions."""

    def __init__(self):
        self.rows = {}
        self.version = 1
        self.history = []  # (version, time, row)
        self.changed = asyncio.Event()
        self.parts = {}
        self.servers = []

    async def open(self, policy=None):
        """Opens an address of the store for one machine. policy(request) may
        delay the call, or raise NoAnswer."""
        port = free_port()

        async def handle(request):
            if policy is not None:
                await policy(request)
            return await self.handle(request)

        self.servers.append(await serve(port, handle))
        return port

    async def handle(self, request):
        if request.path == "/api/rows-tx":
            return await self.transact(request.json())
        if request.path == "/api/rows-get":
            return self.get(request.query)
        if request.path == "/api/rows-feed":
            return await self.feed(request.query)
        return 404, {}

    def stamp(self):
        return {"schemaVersion": self.version, "nowMs": int(now() * 1000)}

    @staticmethod
    def key(row):
        return row["table"], row.get("part", ""), row["key"]

    def put(self, key, value):
        """One change in a transaction whose version is self.version."""
        row = dict(zip(("table", "part", "key"), key))
        row["schemaVersion"] = self.version
        if value is None:
            self.rows.pop(key, None)
            row["deleted"] = True
        else:
            row["value"] = value
            self.rows[key] = row
        self.history.append((self.version, now(), row))

    def announce(self):
        while self.history and self.history[0][1] < now() - HISTORY_S:
            self.history.pop(0)
        self.changed.set()
        self.changed = asyncio.Event()

    async def transact(self, body):
        entries = body.get("put", []) + body.get("remove", []) + body.get("precondition", [])
        part = entries[0].get("part", "") if entries else ""
        lock = self.parts.setdefault(part, asyncio.Lock())
        async with lock:
            await asyncio.sleep(TRANSACTION_S)
            return self.apply(body)

    def apply(self, body):
        for wanted in body.get("precondition", []):
            row = self.rows.get(self.key(wanted))
            if (row["schemaVersion"] if row else 0) != wanted["schemaVersion"]:
                return 412, {"rows": [row] if row else [], **self.stamp()}
        self.version += 1
        for row in body.get("put", []):
            self.put(self.key(row), row["value"])
        for row in body.get("remove", []):
            if self.key(row) in self.rows:
                self.put(self.key(row), None)
        self.announce()
        return 200, self.stamp()

    def get(self, query):
        first, until = query.get("from", ""), query.get("target")
        limit = min(500, int(query.get("limit", 500)))
        rows = [row for (table, part, key), row in sorted(self.rows.items())
                if table == query["table"] and part == query.get("part", "")
                and key >= first and (until is None or key < until)]
        return 200, {"rows": rows[:limit], "hasMore": len(rows) > limit, **self.stamp()}

    async def feed(self, query):
        after = int(query["after"])
        end = now() + min(30000, int(query.get("waitMs", 0))) / 1000
        while True:
            if self.history and after < self.history[0][0] - 1 and after < self.version:
                return 410, self.stamp()
            rows = [row for version, _, row in self.history
                    if version > after and row["table"] == query["table"]]
            if rows or now() >= end:
                return 200, {"rows": rows, **self.stamp()}
            try:
                await asyncio.wait_for(self.changed.wait(), max(0.001, end - now()))
            except asyncio.TimeoutError:
                pass

    def operate(self, name, document):
        """The operator writes op/NAME."""
        self.version += 1
        self.put(("op", "", name), base64.b64encode(json.dumps(document).encode()).decode())
        self.announce()

    def row_of_side(self, node):
        row = self.rows.get(("member", "", node))
        return row["schemaVersion"] if row else 0


# Runners


class Runner:
    """A runner, by PROTOCOL.md: runs, ends, leases and fences.

    The spec of a submission tells how its tasks behave: {"ms": [per step]},
    and {"fails": N} for tasks whose first N runs fail by their own fault.
    """

    count = 0

    def __init__(self, record, name, port, control, labels, cpu, log):
        Runner.count += 1
        self.record = record
        self.name = name
        self.port = port
        self.control = control
        self.labels = labels
        self.capacity = {"cpu": cpu, "memMb": 256000, "gpus": 0}
        self.id = f"i-{Runner.count:04x}{os.getpid():04x}"
        self.born = now()
        self.born_ms = None  # set where runners tell the time of their start
        self.fence = 0
        self.lease = 0
        self.sequence = 0
        self.running = {}  # (task, run) -> asyncio.Task
        self.begun = {}  # (task, run) -> time of the start, duration in ms
        self.highest = {}  # task -> highest run stopped or ended here
        self.ended = []
        self.number = 0
        self.ended_event = asyncio.Event()
        self.alive = True
        self.unhealthy = None  # a status for each order, while it is unhealthy
        self.faulty = False  # fails all that it starts
        self.log = log
        self.tasks = []
        self.next_beat = now()
        self.server = None

    def said_birth(self):
        return {} if self.born_ms is None else {"born": self.born_ms}

    def clock(self):
        return int((now() - self.born) * 1000) + 1000

    async def open(self):
        self.server = await serve(self.port, self.handle)
        self.tasks.append(asyncio.create_task(self.beat()))
        self.tasks.append(asyncio.create_task(self.watch_lease()))

    async def beat(self):
        while self.alive:
            self.next_beat = now() + BEAT_S
            self.sequence += 1
            body = {"service": SERVICE, "address": f"{HOST}:{self.port}", "zone": "z1",
                    "version": "v1", "slots": 8, "state": "ready", "coldRemainingMs": 0,
                    "capacity": self.capacity, "labels": self.labels,
                    "clockMs": self.clock(), "sequence": self.sequence, **self.said_birth()}
            status, _ = await call(self.control, "PUT", f"/api/instances/{self.id}", body,
                                   timeout=1.0)
            if status != 200:
                self.next_beat = now() + BEAT_RETRY_S
            await asyncio.sleep(max(0, self.next_beat - now()))

    async def watch_lease(self):
        while self.alive:
            if self.running and self.clock() >= self.lease:
                for key in list(self.running):
                    self.finish(key, "lapsed")
            await asyncio.sleep(0.01)

    def crash(self):
        """The runner is lost with all that it runs, and no port answers."""
        self.record(f"runner {self.name} crashes")
        self.alive = False
        for key in list(self.running):
            self.log.append(("end", now(), self.name, key[0], key[1], "crash"))
            self.running.pop(key).cancel()
        self.server.close()
        for task in self.tasks:
            task.cancel()

    def finish(self, key, how):
        work = self.running.pop(key, None)
        if work is None:
            return
        work.cancel()
        self.number += 1
        self.highest[key[0]] = max(self.highest.get(key[0], 0), key[1])
        self.ended.append([self.number, key[0], key[1], how, ""])
        self.log.append(("end", now(), self.name, key[0], key[1], how))
        self.record(f"runner {self.name} ends {key[0]} run {key[1]}: {how}")
        self.ended_event.set()
        self.ended_event = asyncio.Event()

    async def work(self, key, spec):
        step = int(key[0].split(".")[2])
        plan = json.loads(spec)
        await asyncio.sleep(plan["ms"][step] / 1000)
        asyncio.get_running_loop().call_soon(self.finish, key, "done")

    async def fail(self, key):
        await asyncio.sleep(0.1)
        asyncio.get_running_loop().call_soon(self.finish, key, "failed")

    def percent(self, key):
        """How far a run is; a task that lasts is at work after 0.3 s."""
        at, ms = self.begun[key]
        worked = (now() - at) * 1000
        return int(min(99, 100 * worked / ms)) if ms < LASTS_MS else int(min(100, worked / 3))

    def extend(self, body):
        if "untilMs" in body:
            limit = self.clock() + MAX_HOLD_MS
            self.lease = max(self.lease, min(int(body["untilMs"]), limit))

    async def handle(self, request):
        if not self.alive:
            raise NoAnswer
        if request.path == "/health":
            return 200, {}
        body = request.json()
        wanted = request.headers.get("x-target-instance")
        if wanted is not None and wanted != self.id:
            return 421, {"clockMs": self.clock()}
        if self.unhealthy is not None and request.path != "/api/hold":
            return self.unhealthy, {"clockMs": self.clock()}
        fence = body.get("fenceToken", 0)
        if fence < self.fence:
            return 409, {"clockMs": self.clock(), "reason": "fence"}
        self.fence = fence
        if request.path == "/api/run-start":
            return self.start(body)
        if request.path == "/api/run-stop":
            return self.stop(body)
        if request.path == "/api/hold":
            return await self.hold(body)
        if request.path == "/api/pace":
            return 200, {"clockMs": self.clock()}
        return 404, {}

    def start(self, body):
        key = body["task"], body["run"]
        answer = {"clockMs": self.clock()}
        if int(body["untilMs"]) <= self.clock():
            return 409, {**answer, "reason": "late"}
        self.extend(body)
        if key in self.running:
            return 200, answer
        if key[1] <= self.highest.get(key[0], 0):
            return 409, {**answer, "reason": "old"}
        loop = asyncio.get_running_loop()
        work = self.fail(key) if self.faulty else self.work(key, body["spec"])
        self.running[key] = loop.create_task(work)
        self.begun[key] = now(), json.loads(body["spec"])["ms"][int(key[0].split(".")[2])]
        self.log.append(("start", now(), self.name, key[0], key[1], ""))
        self.record(f"runner {self.name} starts {key[0]} run {key[1]}")
        return 200, answer

    def stop(self, body):
        key = body["task"], body["run"]
        self.highest[key[0]] = max(self.highest.get(key[0], 0), key[1])
        if key in self.running:
            asyncio.get_running_loop().call_later(STOP_S, self.finish, key, "stopped")
        return 200, {"clockMs": self.clock()}

    async def hold(self, body):
        self.extend(body)
        seen = int(body.get("lastSeen", 0))
        self.ended = [end for end in self.ended if end[0] > seen]
        if not self.ended and body.get("waitMs"):
            try:
                await asyncio.wait_for(self.ended_event.wait(), min(2000, body["waitMs"]) / 1000)
            except asyncio.TimeoutError:
                pass
        running = [[task, run, "", self.percent((task, run)), 0] for task, run in self.running]
        return 200, {"clockMs": self.clock(), "running": running, "ended": self.ended[:500],
                     **self.said_birth()}


# The programs under test


def render(template, fields):
    """The part of DEPLOY.md's template language that deploy/*.ini use."""

    def value(name, scope=fields):
        for word in name.split("."):
            scope = scope.get(word) if isinstance(scope, dict) else (
                scope[int(word)] if scope is not None and int(word) < len(scope) else None)
        return scope

    def section(match):
        return match.group(2) if value(match.group(1)) else ""

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)

    def place(match):
        found = value(match.group(1))
        return "" if found is None else str(found)

    return re.sub(r"\{\{([\w.]+)\}\}", place, text)


def end_with_parent():
    """The programs end if the script is killed."""
    ctypes.CDLL(None).prctl(1, signal.SIGKILL)


class Program:
    """One process of the fleet, which the platform starts again when it ends."""

    def __init__(self, fleet, role, name, fields):
        self.fleet = fleet
        self.name = name
        deploy = fleet.deploy["roles"][role]
        words = deploy["run"].split()
        template = open(os.path.join(ROOT, deploy["template"])).read()
        self.settings = os.path.join(fleet.folder, name + ".ini")
        with open(self.settings, "w") as file:
            file.write(render(template, fields))
        self.command = [os.path.join(ROOT, words[0])] + [
            self.settings if word.endswith("settings.yaml") else word for word in words[1:]]
        self.fields = fields
        self.process = None

    def start(self):
        log = open(os.path.join(self.fleet.folder, self.name + ".log"), "ab")
        self.process = subprocess.Popen(
            self.command, cwd=ROOT, stdout=log, stderr=log, stdin=subprocess.DEVNULL,
            env={"PATH": os.environ.get("PATH", ""), "HOME": self.fleet.folder,
                 "CACTUSRAIL_BOOT": self.settings},
            preexec_fn=end_with_parent)
        log.close()
        self.fleet.record(f"process {self.name} started")

    def send(self, number):
        self.fleet.record(f"process {self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def ended(self, limit):
        end = now() + limit
        while self.process.poll() is None and now() < end:
            await asyncio.sleep(0.01)
        return self.process.poll() is not None

    async def restart(self, delay):
        """What the platform does: waits for the end, SIGKILL after graceS."""
        if not await self.ended(BOUNDS["graceS"]):
            self.send(signal.SIGKILL)
            await self.ended(5)
        await asyncio.sleep(delay)
        self.start()


class NotRun(Exception):
    """The case could not be run."""


class Fleet:
    """Entries, sides, runners and the store, on loopback addresses."""

    def __init__(self, folder):
        self.case = folder
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record = Record(folder)
        self.record(f"TROUBLE={1 if self.trouble else 0}")
        self.work = tempfile.TemporaryDirectory()
        self.folder = self.work.name
        self.deploy = tomllib.load(open(os.path.join(ROOT, "deploy/system.toml"), "rb"))
        self.store = Store()
        self.runs = []  # starts and ends, as the runners saw them
        self.entries = []
        self.sides = []
        self.runners = []
        self.policies = {}

    async def open(self, entries, runners, routes):
        """runners: (labels, cpu) each; routes: (prefix, priority, attempts) each."""
        self.store.operate("config", {
            "version": 3,
            "routes": [{"name": f"r{i}", "host": CALLER_HOST, "pathPrefix": prefix,
                        "kind": "unsafe", "timeoutMs": 3000, "targetLatencyMs": 250,
                        "priority": priority, "service": SERVICE, "maxAttempts": attempts,
                        "stretch": 1.5} for i, (prefix, priority, attempts) in enumerate(routes)],
            "services": [{"name": SERVICE, "healthPath": "/health", "maxConnections": 64,
                          "protocol": "h1", "tls": False, "enforcesCapacity": False,
                          "standby": False}],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144,
                       "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}})
        for i in range(entries):
            fields = await self.fields(f"front-{i + 1}", 0.25)
            fields["listenAddrs"]["front"] = f"{HOST}:{free_port()}"
            fields["listenAddrs"]["readiness"] = f"{HOST}:{free_port()}"
            self.entries.append(Program(self, "entry", f"front-{i + 1}", fields))
        for i, (labels, cpu) in enumerate(runners):
            name = f"side-{i + 1}"
            fields = await self.fields(name, 0.15)
            control, app = free_port(), free_port()
            fields["listenAddrs"]["control"] = f"{HOST}:{control}"
            fields["app"] = f"{HOST}:{app}"
            self.sides.append(Program(self, "side", name, fields))
            self.runners.append(Runner(self.record, f"runner-{i + 1}", app, control,
                                       labels, cpu, self.runs))
        for program in self.entries + self.sides:
            if not os.access(program.command[0], os.X_OK):
                raise NotRun(f"{program.command[0]} is not built")
            program.start()
        for runner in self.runners:
            await runner.open()
        await self.until(20, self.ready, "the fleet is ready")

    async def fields(self, name, share):
        """The settings of a machine; each has an address of the store of its own,
        so that one machine can be turned away."""

        async def policy(request):
            if name in self.policies:
                await self.policies[name](request)

        store = await self.store.open(policy)
        return {"node": name, "zone": "z1", "ip": HOST, "listenAddrs": {},
                "internalPorts": [free_port(), free_port()], "bounds": BOUNDS,
                "limits": {"cpuShare": share, "linkMbps": 1000.0},
                "platform": {"address": f"{HOST}:{store}"}}

    def front(self, i):
        return int(self.entries[i].fields["listenAddrs"]["front"].split(":")[1])

    def leader(self):
        """The entry that the lease names, as text in the row; None without one."""
        row = self.store.rows.get(("lead", "", "scheduler"))
        value = base64.b64decode(row["value"]) if row else b""
        for i, entry in enumerate(self.entries):
            if entry.name.encode() in value:
                return i
        return None

    async def ready(self):
        """All entries are ready, one leads, and each side has linked to it."""
        for entry in self.entries:
            port = int(entry.fields["listenAddrs"]["readiness"].split(":")[1])
            status, _ = await call(port, "GET", "/api/ready", timeout=1)
            if status != 200:
                return False
        if self.leader() is None:
            return False
        for side in self.sides:
            log = open(os.path.join(self.folder, side.name + ".log"), "rb").read()
            if b"leader-linked" not in log:
                return False
        return True

    async def until(self, limit, condition, what):
        end = now() + limit
        while now() < end:
            if await condition():
                return
            await asyncio.sleep(0.02)
        raise NotRun(f"waited in vain until {what}")

    async def post(self, i, path, job, timeout=3.0):
        status, answer = await call(self.front(i), "POST", path, job, timeout,
                                    {"X-Deadline-Ms": str(int(timeout * 1000))})
        self.record(f"POST {path} at {self.entries[i].name}: {status or 'no answer'} {answer}")
        return status

    async def accept(self, path, job):
        """Hands a submission in at the first entry, which must accept it."""
        if await self.post(0, path, job) != 200:
            raise NotRun("a submission was not accepted")

    async def get(self, i, path, quiet=False):
        status, answer = await call(self.front(i), "GET", path)
        if not quiet:
            self.record(f"GET {path} at {self.entries[i].name}: {status or 'no answer'} {answer}")
        return status, answer

    async def delete(self, i, path):
        status, answer = await call(self.front(i), "DELETE", path)
        self.record(f"DELETE {path} at {self.entries[i].name}: {status or 'no answer'} {answer}")
        return status

    def starts(self, job):
        return [run for run in self.runs if run[0] == "start" and run[3].startswith(job)]

    def overlaps(self, job):
        """Tasks of which two runs were under way at one time, and for how long."""
        open_runs, found = {}, {}
        for kind, at, runner, task, run, _ in sorted(self.runs, key=lambda r: r[1]):
            if not task.startswith(job):
                continue
            mine = open_runs.setdefault(task, {})
            if kind == "start":
                if mine:
                    found.setdefault(task, []).append((at, runner, run, dict(mine)))
                mine[(runner, run)] = at
            else:
                mine.pop((runner, run), None)
        return found

    def close(self):
        for program in self.entries + self.sides:
            if program.process is not None and program.process.poll() is None:
                program.process.kill()
        for program in self.entries + self.sides:
            if program.process is not None:
                program.process.wait()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            subprocess.run(["cp", "-r", self.folder, keep], check=False)
        self.work.cleanup()
        self.record.close()


def run(folder, case):
    """Runs case(fleet) -> whether the rule was broken, and exits with 0, 1 or 2."""

    async def main():
        fleet = Fleet(folder)
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, sys.exit, 2)
        try:
            broken = await asyncio.wait_for(case(fleet), 115)
            fleet.record("the rule was broken" if broken else "the rule held")
            return 1 if broken else 0
        except (NotRun, asyncio.TimeoutError, OSError) as problem:
            fleet.record(f"the case could not run: {problem!r}")
            return 2
        finally:
            fleet.close()

    code = asyncio.run(main())
    print({0: "held", 1: "broken", 2: "could not run"}[code])
    sys.exit(code)
