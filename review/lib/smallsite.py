"""A small deployment on loopback: the platform's store, model workers, plain workers, the origin of weights and clients
are stand-ins in this process; entries and agents are the programs of the deploy file. The stand-ins do what the pages of
the platform say and nothing else, except for the trouble that a case asks for."""

import asyncio
import contextlib
import hashlib
import json
import os
import random
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
DAEMON = os.path.join("target", "bin", "catkinlinkd")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

# Bounds of the site costilla-luz.
BOUNDS = {
    "seedLagS": 3, "reuseAfterS": 2, "stableWindowMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": 2000, "graceS": 8,
    "lossSlackMs": 200, "configApplyMs": 2000, "rollbackSlackMs": 250, "maxStretchMs": 5000, "failClosed": False,
    "revokeMs": 5000, "retryBudgetRatio": 0.2, "budgetWindowS": 10, "budgetExtra": 100, "coldOverage": 1.5, "coldSlack": 5,
    "evacuateMs": 5000, "recoverS": 12, "passMs": 120, "retryAfterS": 0, "version_ms": 8000, "version_all_ms": 0,
    "ttl_max_s": 5,
}
HOST = "jepu9.example"
KEY = "jnbanfqasnmgkcuyj8pj"
TENANT = "bozi300"
MODEL = "daka510000"
CHUNKS = 96
CHUNK_BYTES = 24576
LAYERS = 16
HEARTBEAT_S = 1.2

REASONS = {200: "OK", 201: "Created", 202: "Accepted", 400: "Bad Request", 403: "Forbidden", 404: "Not Found",
           409: "Conflict", 410: "Gone", 412: "Precondition Failed", 421: "Misdirected Request",
           500: "Internal Server Error", 503: "Service Unavailable"}


class Broken(Exception):
    """The case could not run."""


def now():
    return time.monotonic()


class Record:
    """Writes record.txt: what was sent, answered and run."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.start = now()

    def line(self, *parts):
        text = "%8.3f  %s" % (now() - self.start, " ".join(str(part) for part in parts))
        self.file.write(text + "\n")
        self.file.flush()

    def say(self, *parts):
        self.line(*parts)
        print(*parts, flush=True)


class Request:
    def __init__(self, method, target, headers, body):
        self.method, self.target, self.headers, self.body = method, target, headers, body
        self.path, _, query = target.partition("?")
        self.query = dict(pair.partition("=")[::2] for pair in query.split("&") if pair)

    def header(self, name, default=None):
        return next((value for key, value in self.headers if key.lower() == name.lower()), default)


async def read_head(reader):
    data = await reader.readuntil(b"\r\n\r\n")
    lines = data.decode("latin-1").split("\r\n")
    headers = []
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers.append((name.strip(), value.strip()))
    return lines[0], headers


async def read_request(reader):
    start, headers = await read_head(reader)
    method, target, _ = start.split(" ", 2)
    request = Request(method, target, headers, b"")
    request.body = await reader.readexactly(int(request.header("Content-Length", "0")))
    return request


def head_bytes(status, headers):
    lines = ["HTTP/1.1 %d %s" % (status, REASONS.get(status, "Unknown"))]
    lines += ["%s: %s" % header for header in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def response_bytes(status, body=b"", headers=(), content_type="application/json"):
    if not isinstance(body, bytes):
        body = json.dumps(body).encode()
    return head_bytes(status, [("Content-Type", content_type), *headers, ("Content-Length", str(len(body)))]) + body


def reset(writer):
    """Closes a connection with a reset."""
    raw = writer.transport.get_extra_info("socket")
    if raw is not None:
        with contextlib.suppress(OSError):
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class Server:
    """An HTTP/1.1 server; handle(request, writer) returns the bytes of an answer, or None when it has written itself."""

    def __init__(self, ip):
        self.ip, self.port, self.server, self.writers = ip, 0, None, set()

    @property
    def addr(self):
        return "%s:%d" % (self.ip, self.port)

    async def listen(self):
        self.server = await asyncio.start_server(self.serve, self.ip, self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = await read_request(reader)
                answer = await self.handle(request, writer)
                if answer is None:
                    continue
                writer.write(answer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def handle(self, request, writer):
        raise NotImplementedError

    def stop(self):
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


class Store(Server):
    """The platform's metadata store: objects by kind and name, one revision counter, watches."""

    def __init__(self, ip, record):
        super().__init__(ip)
        self.record, self.rev, self.objects, self.events, self.changed = record, 1, {}, [], asyncio.Event()
        self.watching = set()
        # Bytes that stand in answers in place of a string of a spec, as another writer wrote them.
        self.raw = {}

    def put(self, kind, name, spec, create_only=False):
        objects = self.objects.setdefault(kind, {})
        known = objects.get(name)
        if known is not None and (create_only or known["spec"] == spec):
            return known
        self.rev += 1
        created = known["metadata"]["created"] if known else self.rev
        objects[name] = {"metadata": {"name": name, "revision": self.rev, "created": created, "finalizers": [],
                                      "deleting": False}, "spec": spec, "status": None}
        self.emit(kind, objects[name], False)
        return objects[name]

    def remove(self, kind, name):
        gone = self.objects.get(kind, {}).pop(name, None)
        if gone is not None:
            self.rev += 1
            self.emit(kind, gone, True)
        return gone

    def emit(self, kind, item, deleted):
        self.events.append((self.rev, kind, {"object": item, "deleted": deleted}))
        self.changed.set()
        self.changed = asyncio.Event()

    def dump(self, value):
        text = json.dumps(value).encode()
        for marker, raw in self.raw.items():
            text = text.replace(json.dumps(marker).encode(), raw)
        return text

    def reset_watches(self, kind):
        """Cuts off the watches of a kind that wait now."""
        cut = [entry for entry in self.watching if entry[0] == kind]
        for entry in cut:
            self.watching.discard(entry)
            reset(entry[1])
        return len(cut)

    async def handle(self, request, writer):
        await asyncio.sleep(0.004)
        parts = request.path.strip("/").split("/")
        if parts[:2] != ["v1", "objects"] or len(parts) < 3:
            return response_bytes(404, {})
        kind, name = parts[2], parts[3] if len(parts) > 3 else None
        if request.method == "GET" and name is None and "watch" in request.query:
            return await self.watch(kind, int(request.query["watch"]), int(request.query.get("waitMs", "0")), writer)
        if request.method == "GET" and name is None:
            names = sorted(self.objects.get(kind, {}))
            names = [each for each in names if each > request.query.get("afterRev", "")]
            items = [self.objects[kind][each] for each in names]
            return response_bytes(200, self.dump({"items": items, "truncated": False, "currentRev": self.rev}))
        if request.method == "GET":
            found = self.objects.get(kind, {}).get(name)
            return response_bytes(200, self.dump(found)) if found else response_bytes(404, {})
        if request.method == "DELETE":
            gone = self.remove(kind, name)
            return response_bytes(200, self.dump(gone)) if gone else response_bytes(404, {})
        body = json.loads(request.body)
        name = name or body["metadata"]["name"]
        if request.method == "POST" and name in self.objects.get(kind, {}):
            return response_bytes(409, self.dump(self.objects[kind][name]))
        if request.method == "PUT" and name not in self.objects.get(kind, {}):
            return response_bytes(404, {})
        return response_bytes(200 if request.method == "PUT" else 201, self.dump(self.put(kind, name, body.get("spec"))))

    async def watch(self, kind, since, wait_ms, writer):
        until = now() + wait_ms / 1000
        entry = (kind, writer)
        self.watching.add(entry)
        try:
            while True:
                found = [event for rev, of, event in self.events if of == kind and rev > since]
                if found or now() >= until:
                    return response_bytes(200, self.dump({"events": found, "currentRev": self.rev}))
                with contextlib.suppress(asyncio.TimeoutError):
                    await asyncio.wait_for(self.changed.wait(), max(0.001, until - now()))
        finally:
            self.watching.discard(entry)


def piece(version, index):
    seed = hashlib.sha256(b"%d/%d" % (version, index)).digest()
    return (seed * (CHUNK_BYTES // len(seed) + 1))[:CHUNK_BYTES]


class Origin(Server):
    """The service that hands out weights."""

    def __init__(self, ip, record):
        super().__init__(ip)
        self.record = record

    async def handle(self, request, writer):
        version = int(request.query.get("version", "1"))
        if request.path.startswith("/v1/manifest/"):
            digests = [hashlib.sha256(piece(version, i)).hexdigest() for i in range(CHUNKS)]
            return response_bytes(200, {"model": MODEL, "version": version, "chunkBytes": CHUNK_BYTES, "layers": LAYERS,
                                        "digests": digests})
        if request.path.startswith("/v1/piece/"):
            await asyncio.sleep(CHUNK_BYTES * 8 / 7.3e6)
            return response_bytes(200, piece(version, int(request.query["itemCount"])), content_type="application/octet-stream")
        return response_bytes(404, {})


class Worker(Server):
    """What plain workers and model workers have in common: registration, instance check, answers with a receipt."""

    def __init__(self, site, name, ip, service, zone, slots):
        super().__init__(ip)
        self.site, self.record, self.id, self.service, self.zone, self.slots = site, site.record, name, service, zone, slots
        self.state, self.beats, self.registered = "ready", 0, False
        self.running, self.born = 0, int(time.time() * 1000)
        # Ids of requests that began to run here, with the time, and of all that arrived.
        self.ran, self.arrived = [], []

    def spec(self):
        return {"service": self.service, "addr": self.addr, "zone": self.zone, "version": "v1", "slots": self.slots,
                "state": self.state, "coldLeftMs": 0, "born": self.born, "seq": self.beats}

    async def start(self):
        await self.listen()
        self.registered = True
        self.site.spawn(self.beat())

    async def beat(self):
        told = None
        while self.registered:
            # The entry changes when more than its count does.
            told = self.spec() if told is None or {**self.spec(), "seq": told["seq"]} != told else told
            self.site.store.put("servers", self.id, told)
            self.beats += 1
            await asyncio.sleep(HEARTBEAT_S)

    def leave_without_draining(self):
        """The entry is removed, and the worker continues to serve."""
        self.registered = False
        self.site.store.remove("servers", self.id)

    def receipt(self, request):
        return "%s.%s" % (self.id, hashlib.sha256((request.header("X-Attempt-Id") or "").encode()).hexdigest()[:8])

    def load(self):
        return "%d,0,%d" % (self.running, self.slots)

    async def handle(self, request, writer):
        if request.path == "/health":
            return response_bytes(200, b"", [("X-Worker-Id", self.id), ("X-Worker-Load", self.load())])
        attempt = request.header("X-Attempt-Id")
        expected = request.header("X-Expect-Instance")
        if expected is not None and expected != self.id:
            return response_bytes(421, {}, [("X-Worker-Id", self.id)])
        if attempt is None:
            return response_bytes(400, {}, [("X-Not-Executed", "1")])
        self.arrived.append((now(), attempt))
        self.record.line("worker", self.id, "gets", request.method, request.target, attempt)
        if self.running >= self.slots:
            return response_bytes(503, {}, [("X-Not-Executed", "1"), ("X-Attempt-Id", attempt)])
        self.running += 1
        self.ran.append((now(), attempt))
        try:
            return await self.run(request, writer, attempt)
        finally:
            self.running -= 1

    def answer_headers(self, request, attempt):
        return [("X-Attempt-Id", attempt), ("X-Server-Seal", self.receipt(request)), ("X-Worker-Load", self.load())]

    async def run(self, request, writer, attempt):
        await asyncio.sleep(0.015)
        body = ("%s ran %s %s" % (self.id, attempt, "x" * 800)).encode()
        return response_bytes(200, body, self.answer_headers(request, attempt), "text/plain")


class Engine(Worker):
    """A model worker: weights that are staged and loaded, and streams of events."""

    def __init__(self, site, name, ip, service, zone, slots=16, version=1):
        super().__init__(site, name, ip, service, zone, slots)
        self.version, self.busy, self.orders = version, False, 0
        self.staged = {i: piece(version, i) for i in range(CHUNKS)} if version else {}
        # Time at which a staged piece turned bad by itself, by index.
        self.spoilt_at = {}
        # What was wrong with the pieces when the loaded layers were taken; empty when they were whole.
        self.taken_wrong = []
        # Requests that made tokens on such layers.
        self.ran_on_wrong = 0
        self.event_s, self.events = 0.05, 20
        self.on_staged_read = None
        self.on_order = None

    def spec(self):
        spec = super().spec()
        spec.update(stage="both", models=self.models(), layers=self.layer_range())
        return spec

    def models(self):
        return [{"name": MODEL, "version": self.version, "adapters": []}] if self.version else []

    def layer_range(self):
        return {"from": 0, "to": LAYERS, "version": self.version} if self.version else None

    async def handle(self, request, writer):
        if request.path == "/v1/report":
            return response_bytes(200, {"stage": "both", "models": self.models(), "layers": self.layer_range(), "busy": self.busy,
                                        "seq": self.orders, "waiting": 0, "running": self.running, "kvUsed": 1000 * self.running,
                                        "kvTotal": 1180000, "handles": 0, "pace": 1, "born": self.born})
        if request.path.startswith("/v1/stage-put/"):
            index = int(request.query["itemCount"])
            self.staged[index] = request.body
            self.spoilt_at.pop(index, None)
            return response_bytes(200, {})
        if request.path.startswith("/v1/stage-get/"):
            if "itemCount" not in request.query:
                return response_bytes(200, {"held": sorted(self.staged)})
            index = int(request.query["itemCount"])
            if self.on_staged_read is not None:
                self.on_staged_read(self, index)
            if index not in self.staged:
                return response_bytes(404, {})
            return response_bytes(200, self.staged[index], content_type="application/octet-stream")
        if request.path == "/v1/order":
            return self.order(json.loads(request.body))
        version = request.header("X-Expect-Version")
        if version is not None and int(version) != self.version:
            return response_bytes(421, {}, [("X-Worker-Id", self.id), ("At-Server", self.addr)])
        if self.busy or not self.version:
            return response_bytes(503, {}, [("X-Not-Executed", "1"), ("At-Server", self.addr)])
        return await super().handle(request, writer)

    def order(self, body):
        self.record.line("worker", self.id, "gets order", json.dumps(body))
        if self.on_order is not None:
            self.on_order(self)
        if body.get("op") != "start":
            return response_bytes(400, {})
        if self.version == body["version"]:
            return response_bytes(200, {})
        if self.busy or ("precondition" in body and body["precondition"] != self.orders):
            return response_bytes(409, {})
        self.orders += 1
        self.busy = True
        # The staged data is taken as it is at this moment.
        wrong = []
        for i in range(CHUNKS):
            if self.staged.get(i) != piece(body["version"], i):
                age = now() - self.spoilt_at[i] if i in self.spoilt_at else None
                wrong.append((i, "missing" if i not in self.staged else "spoilt" if age is not None else "other version", age))
        self.record.line("worker", self.id, "takes version", body["version"], "wrong pieces:", wrong)
        self.site.spawn(self.load_weights(body["version"], wrong))
        return response_bytes(202, {})

    async def load_weights(self, version, wrong):
        if not self.running_allowed_during_load():
            self.version = 0
        await asyncio.sleep(0.3)
        self.version, self.taken_wrong, self.busy = version, wrong, False
        self.record.line("worker", self.id, "holds version", version)

    def running_allowed_during_load(self):
        return False

    def spoil(self, index):
        self.staged[index] = bytes([self.staged[index][0] ^ 0xFF]) + self.staged[index][1:]
        self.spoilt_at[index] = now()
        self.record.line("worker", self.id, "piece", index, "turns bad where it lies")

    async def run(self, request, writer, attempt):
        first = int(request.header("Last-Event-Id") or "0") + 1
        headers = [("Content-Type", "text/event-stream"), *self.answer_headers(request, attempt),
                   ("X-Weight-Versions", str(self.version)), ("Transfer-Encoding", "chunked")]
        writer.write(head_bytes(200, headers))
        self.ran_on_wrong += 1 if self.taken_wrong else 0
        for number in range(first, self.events + 1):
            if not self.version:
                # A load with the strategy "cut" ends what is running.
                reset(writer)
                raise ConnectionError("cut by a load")
            await self.before_event(request, writer, attempt, number)
            event = ("id: %d\ndata: %s/%d\n\n" % (number, attempt, number)).encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(self.event_s)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return None

    async def before_event(self, request, writer, attempt, number):
        """For cases: trouble in the middle of a stream."""


class Process:
    """One process of the system, started with a command of the deploy file."""

    def __init__(self, site, name, role, settings):
        self.site, self.name, self.role, self.settings, self.process = site, name, role, settings, None

    async def start(self):
        path = os.path.join(self.site.folder, self.name + ".yaml")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(self.settings, file)  # JSON is YAML
        log = open(os.path.join(self.site.folder, self.name + ".log"), "ab")
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["CATKINLINK_NODE_FILE"] = path
        self.process = await asyncio.create_subprocess_exec(DAEMON, "--platform", self.role, cwd=ROOT, env=environment,
                                                            stdout=log, stderr=log, stdin=asyncio.subprocess.DEVNULL)
        log.close()
        self.site.record.line("starts", self.name, "as", self.role, "pid", self.process.pid)

    def signal(self, number):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)
            self.site.record.line("signal", signal.Signals(number).name, "to", self.name)

    async def end(self):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            await self.process.wait()


class Site:
    def __init__(self, folder):
        self.record = Record(folder)
        self.temporary = tempfile.TemporaryDirectory(prefix="catkinlink-review-")
        self.folder = self.temporary.name
        # A loopback address for each machine; each run draws its own block.
        self.block = "127.%d.%d" % (random.randint(10, 250), random.randint(1, 250))
        self.next_host = 10
        self.tasks, self.processes, self.servers = set(), [], []
        self.zones, self.store, self.origin = {}, None, None
        self.entries, self.version = [], 0
        self.ports = None

    def ip(self):
        self.next_host += 1
        return "%s.%d" % (self.block, self.next_host)

    def spawn(self, coroutine):
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def start_platform(self, zones):
        """zones: {zone: region}."""
        if not os.path.exists(os.path.join(ROOT, DAEMON)):
            raise Broken("target/bin/catkinlinkd is missing: run the build of the deploy file first")
        self.zones = zones
        self.ports = self.free_ports(6)
        self.store = Store(self.ip(), self.record)
        await self.add(self.store)
        self.origin = Origin(self.ip(), self.record)
        await self.add(self.origin)

    @staticmethod
    def free_ports(count):
        sockets = [socket.socket() for _ in range(count)]
        for each in sockets:
            each.bind(("127.0.0.1", 0))
        ports = [each.getsockname()[1] for each in sockets]
        for each in sockets:
            each.close()
        return ports

    async def add(self, server):
        self.servers.append(server)
        if isinstance(server, Worker):
            await server.start()
        else:
            await server.listen()
        return server

    def settings(self, name, role, machine, ip, zone):
        return {"nodeName": name, "role": role, "machineClass": machine, "ip": ip, "zone": zone, "region": self.zones[zone],
                "zones": self.zones, "innerPorts": [self.ports[4], self.ports[4] + 15], "bootstrap": True, "countsAsLoss": False,
                "limits": {"cpuShare": 0.5, "cores": 1, "memoryMb": 520, "maxFds": 8400, "linkMbps": 1000.0, "diskMb": 0},
                "dataDir": None, "discovery": "platform", "entry": "directory", "heartbeatMs": int(HEARTBEAT_S * 1000),
                "bounds": BOUNDS, "seeds": ["%s:%d" % (entry.settings["ip"], self.ports[2]) for entry in self.entries][:3],
                "platform": {"addr": self.store.addr, "form": "objects", "writesPerS": 400, "readsPerS": 2000, "historyS": 20,
                             "valueBytes": 1048576, "ttlMinMs": 1000}}

    async def add_entry(self, zone):
        ip = self.ip()
        name = "front-%s-%d" % (zone, len(self.entries) + 1)
        settings = self.settings(name, "entry", "front", ip, zone)
        settings.update(serves=["front", "directory", "control"],
                        listen={"front": "%s:%d" % (ip, self.ports[0]), "ready": "%s:%d" % (ip, self.ports[1]),
                                "control": "%s:%d" % (ip, self.ports[2]), "directory": "%s:%d" % (ip, self.ports[3])})
        process = Process(self, name, "entry", settings)
        self.entries.append(process)
        self.processes.append(process)
        await process.start()
        return process

    async def add_agent(self, engine):
        settings = self.settings("side-" + engine.id, "agent", "side", engine.ip, engine.zone)
        settings.update(serves=["side"], listen={}, app=engine.addr, service=engine.service)
        settings["limits"].update(cpuShare=0.3, memoryMb=128, maxFds=2048, linkMbps=7.3)
        process = Process(self, "side-" + engine.id, "agent", settings)
        self.processes.append(process)
        await process.start()
        return process

    def configure(self, routes, services):
        """Writes the next config. The store's answer is the ack."""
        self.version += 7
        self.store.put("config", "main", {
            "version": self.version, "routes": routes, "services": services,
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
            "tenants": [{"name": TENANT, "apiKeys": [KEY], "priority": 1, "allowedRegions": []}]})
        self.record.line("operator writes config", self.version)

    def model_service(self, name):
        return {"name": name, "healthPath": "/health", "maxConns": 424, "protocol": "h1", "tls": False, "coldStartS": 0.0,
                "coldPerS": 0.0, "engine": {
                    "slots": 16, "kvCapacity": 1180000, "kvTokenBytes": 163840, "linkMbps": 400000.0, "stride": 5,
                    "models": [{"name": MODEL, "pace": 1.0, "loadS": 4.0, "warmS": 0.3}], "sizeMb": 266000.0, "step_ms": 8.87,
                    "per_seq_ms": 0.0388, "context_per_k": 0.0227, "read_per_s": 19100.0, "pairs_per_m": 1.47, "chunk": 2048,
                    "report_lag_ms": 200.0, "usual": {"prompt": 977, "answer": 94}, "layers": LAYERS, "layer_mb": 4540.0,
                    "act_bytes": 16384, "chunks": CHUNKS, "chunkBytes": CHUNK_BYTES}}

    def origin_service(self, name, zone):
        return {"name": name, "origin": self.origin.addr, "zone": zone, "linkMbps": 7.3, "maxConns": 48}

    @staticmethod
    def plain_service(name):
        return {"name": name, "healthPath": "/health", "maxConns": 96, "protocol": "h1", "tls": False, "coldStartS": 0.0,
                "coldPerS": 0.0}

    @staticmethod
    def route(name, prefix, kind, service, timeout_ms, target_ms, **more):
        route = {"name": name, "host": HOST, "pathPrefix": prefix, "kind": kind, "timeoutMs": timeout_ms,
                 "targetLatencyMs": target_ms, "priority": 1, "service": service, "maxAttempts": 2, "public": False,
                 "allowedRegions": []}
        route.update(more)
        return route

    async def get(self, ip, port, target, timeout=1.0):
        """One GET on a new connection; returns (status, body), or (0, reason)."""
        try:
            return await asyncio.wait_for(self.get_now(ip, port, target), timeout)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError) as error:
            return 0, type(error).__name__

    @staticmethod
    async def get_now(ip, port, target):
        reader, writer = await asyncio.open_connection(ip, port)
        try:
            writer.write(("GET %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n\r\n" % (target, ip)).encode())
            start, headers = await read_head(reader)
            length = next((int(value) for name, value in headers if name.lower() == "content-length"), 0)
            return int(start.split(" ")[1]), await reader.readexactly(length)
        finally:
            writer.close()

    async def ready(self, entry, timeout=1.0):
        return (await self.get(entry.settings["ip"], self.ports[1], "/v1/readiness", timeout))[0]

    async def wait_until(self, what, condition, seconds=20):
        until = now() + seconds
        while now() < until:
            if await condition():
                return
            await asyncio.sleep(0.1)
        raise Broken("not within %d s: %s" % (seconds, what))

    async def all_ready(self):
        async def check():
            return all([await self.ready(entry) == 200 for entry in self.entries])
        await self.wait_until("all entries are ready", check)

    async def close(self):
        """Ends all processes and stand-ins. KEEP_LOGS names a folder to which the logs of the processes are copied."""
        if os.environ.get("KEEP_LOGS"):
            shutil.copytree(self.folder, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
        for process in self.processes:
            await process.end()
        tasks = list(self.tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for server in self.servers:
            server.stop()
        await asyncio.sleep(0.1)
        self.temporary.cleanup()


class Answer:
    """What a client saw of one attempt."""

    def __init__(self, attempt):
        self.attempt, self.status, self.headers, self.body, self.end, self.took = attempt, 0, {}, b"", "no answer", 0.0
        # Raw bytes of the answer, as they came.
        self.raw = b""

    def __str__(self):
        return "%s status=%d end=%s bytes=%d took=%.2f" % (self.attempt, self.status, self.end, len(self.body), self.took)


class Client:
    """A client with one kept channel to one entry."""

    def __init__(self, site, entry):
        self.site, self.entry, self.reader, self.writer = site, entry, None, None

    async def call(self, target, budget_ms, method="POST", body=b"{}", headers=(), attempt=None):
        attempt = attempt or "%016x" % random.getrandbits(64)
        answer = Answer(attempt)
        begun = now()
        try:
            await asyncio.wait_for(self.exchange(answer, target, budget_ms, method, body, headers), budget_ms / 1000 + 0.5)
        except asyncio.TimeoutError:
            answer.end = "time budget over" if answer.status == 0 else "cut by the client: time budget over"
            self.drop()
        except (OSError, asyncio.IncompleteReadError) as error:
            answer.end = "channel broken: %s" % type(error).__name__
            self.drop()
        except ValueError as error:
            answer.end = "not the protocol: %s" % error
            self.drop()
        answer.took = now() - begun
        self.site.record.line("client of", self.entry.name, method, target, answer)
        return answer

    def drop(self):
        if self.writer is not None:
            self.writer.transport.abort()
        self.writer = None

    async def exchange(self, answer, target, budget_ms, method, body, headers):
        if self.writer is None:
            self.reader, self.writer = await asyncio.open_connection(self.entry.settings["ip"], self.site.ports[0])
        lines = ["%s %s HTTP/1.1" % (method, target), "Host: " + HOST, "X-Attempt-Id: " + answer.attempt, "X-Api-Key: " + KEY,
                 "X-Deadline-Ms: %d" % budget_ms]
        lines += ["%s: %s" % header for header in headers]
        if method != "GET":
            lines.append("Content-Length: %d" % len(body))
        self.writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + (body if method != "GET" else b""))
        start, head = await read_head(self.reader)
        parts = start.split(" ")
        if not parts[0].startswith("HTTP/1.1") or len(parts) < 2 or not parts[1].isdigit():
            raise ValueError("status line %r" % start)
        answer.status, answer.headers = int(parts[1]), {name.lower(): value for name, value in head}
        if answer.headers.get("transfer-encoding") == "chunked":
            await self.read_chunks(answer)
        else:
            answer.body = await self.reader.readexactly(int(answer.headers.get("content-length", "0")))
        answer.end = "complete"
        if answer.headers.get("connection") == "close":
            self.drop()

    async def read_chunks(self, answer):
        while True:
            line = (await self.reader.readuntil(b"\r\n"))[:-2]
            answer.raw += line + b"\r\n"
            try:
                size = int(line, 16)
            except ValueError:
                with contextlib.suppress(asyncio.TimeoutError):
                    answer.raw += await asyncio.wait_for(self.reader.read(4096), 0.3)
                raise ValueError("chunk size %r" % line) from None
            data = await self.reader.readexactly(size + 2)
            answer.raw += data
            if size == 0:
                return
            answer.body += data[:-2]


def stream_headers(prompt=1330, answer=100):
    return [("X-Model", MODEL), ("X-Token-Count", "%d,%d" % (prompt, answer)),
            ("X-Prompt-Prefix", "%08x:%d,%08x:%d" % (random.getrandbits(32), 40, random.getrandbits(32), prompt - 40))]


def main(folder, case):
    """Runs `await case(site)`, which returns a list of what broke the rule. Exits with 0 (held), 3 (broken) or 2 (couldn't run)."""

    async def run():
        site = Site(folder)
        # A run that is told to end still ends its processes.
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        site.record.line("trouble" if TROUBLE else "no trouble (TROUBLE=0)")
        try:
            broken = await asyncio.wait_for(case(site), 105)
        except (Exception, asyncio.CancelledError) as error:  # pylint: disable=broad-except
            site.record.say("the case could not run:", type(error).__name__, error)
            return 2
        finally:
            await site.close()
        for line in broken:
            site.record.say("BROKEN:", line)
        site.record.say("the rule was broken" if broken else "the rule held")
        return 3 if broken else 0

    sys.exit(asyncio.run(run()))
