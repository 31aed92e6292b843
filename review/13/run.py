"""The only entry of a zone leaves as planned, while another zone of the same region has one. See claim.txt. Writes record.txt; exits with 1 if HOME was broken,
0 if it held, 2 if the case could not run."""

import asyncio
import json
import os
import random
import signal
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lib-3"))

import deployment
import http11

MODEL, PIECES, PIECE_BYTES = "glue510000", 4, 24576
ZONES = {"lima-miraflores": "lima", "lima-callao": "lima", "cusco-wanchaq": "cusco"}
HOME = "lima"
KEY = "jnbanfqasnmgkcuyj8pj"
LEAD_S = 8.0
BEFORE_S, AFTER_S = 12.0, 40.0
REQUESTS_PER_S_AND_ZONE = 10
CLIENTS_PER_ZONE = 20
# "over 1 in 20 requests on routes with homes".
LARGEST_SHARE = 1 / 20


def configuration(origin):
    engine = {"slots": 16, "kvCapacity": 1180000, "kvTokenBytes": 163840, "linkMbps": 400000.0, "stride": 5,
              "models": [{"name": MODEL, "pace": 1.0, "loadS": 4.0, "warmS": 0.3}], "sizeMb": 266000.0, "step_ms": 8.87, "per_seq_ms": 0.0388,
              "context_per_k": 0.0227, "read_per_s": 19100.0, "pairs_per_m": 1.47, "chunk": 2048, "report_lag_ms": 200.0, "layers": 16,
              "layer_mb": 4540.0, "act_bytes": 16384, "chunks": PIECES, "chunkBytes": PIECE_BYTES, "usual": {"prompt": 977, "answer": 94}}
    return {"version": 7,
            "routes": [{"name": "cure-note", "host": "bench.example", "pathPrefix": "/cure/", "kind": "streaming", "timeoutMs": 6000,
                        "targetLatencyMs": 400, "priority": 1, "service": "llm", "maxAttempts": 2, "public": False, "sticky": True,
                        "resumable": True, "gapTargetMs": 400, "allowedRegions": [HOME]}],
            "services": [{"name": "llm", "healthPath": "/health", "maxConns": 424, "protocol": "h1", "tls": False, "coldStartS": 3.0,
                          "coldPerS": 36.0, "engine": engine},
                         {"name": "ledger-room", "origin": origin, "zone": "lima-callao", "linkMbps": 7.3, "maxConns": 48}],
            "tenants": [{"name": "bozi300", "apiKeys": [KEY]}],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}}


class Client:
    """Asks the directory as PROTOCOL.md says, and keeps each answer for its ttlS, some clients three times as long."""

    def __init__(self, case, zone, patient):
        self.case, self.zone, self.patient = case, zone, patient
        self.addresses, self.until = [], 0.0

    async def resolve(self):
        if time.monotonic() < self.until:
            return
        region = ZONES[self.zone]
        # Nearest first: the own zone, then the own region.
        nearest = sorted(self.case.entries, key=lambda entry: (entry[1] != self.zone, ZONES[entry[1]] != region))
        for name, _, ip in nearest[:3]:
            try:
                status, _, body = await http11.call(ip, deployment.DIRECTORY_PORT, "GET",
                                                    f"/v1/resolve?name=bench.example&region={region}&zone={self.zone}", timeout=1)
                answer = json.loads(body)
                if status == 200 and answer["addresses"]:
                    self.addresses = answer["addresses"]
                    self.until = time.monotonic() + min(5, answer["ttlS"]) * (3 if self.patient else 1)
                    self.case.note(f"directory {name} for zone {self.zone}: {answer}")
                    return
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ConnectionError, ValueError, KeyError):
                continue

    async def request(self):
        await self.resolve()
        usable = list(self.addresses)
        random.shuffle(usable)
        for address in usable[:2]:
            ip = address.split(":")[0]
            attempt = f"{random.randrange(1 << 63):016x}"
            self.case.count(self.zone, ip)
            headers = [("Host", "bench.example"), ("X-Attempt-Id", attempt), ("X-Deadline-Ms", 6000), ("X-Api-Key", KEY), ("X-Model", MODEL),
                       ("X-Token-Count", "647,70"), ("X-Prompt-Prefix", f"{random.randrange(60):08x}:40,{attempt}:607")]
            try:
                status, _, _ = await http11.call(ip, deployment.FRONT_PORT, "POST", "/cure/2f", headers, b"q" * 320, 6)
                self.case.note(f"zone {self.zone}: request {attempt} to {self.case.zone_of(ip)} ({ip}): {status}")
                self.case.answers[status] = self.case.answers.get(status, 0) + 1
                return
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ConnectionError) as failure:
                self.case.note(f"zone {self.zone}: request {attempt} to {self.case.zone_of(ip)} ({ip}): {type(failure).__name__}")
                self.addresses = [other for other in self.addresses if other != address]


class Case:
    def __init__(self, trouble):
        self.trouble = trouble
        self.site = deployment.Site(ZONES)
        self.record = []
        self.answers = {}
        self.sent = {}
        self.entries = []

    def note(self, text):
        self.record.append(f"{time.strftime('%H:%M:%S')}.{int(time.time() * 1000) % 1000:03d}  {text}")

    def zone_of(self, ip):
        return next(zone for _, zone, known in self.entries if known == ip)

    def count(self, zone, ip):
        region = ZONES[self.zone_of(ip)]
        foreign = region not in (HOME, ZONES[zone])
        total, elsewhere = self.sent.get(zone, (0, 0))
        self.sent[zone] = (total + 1, elsewhere + foreign)

    async def start(self):
        site = self.site
        site.start_store()
        site.start_stand_in("origin", "origin.py", site.origin_host, deployment.ORIGIN_PORT, MODEL, PIECES, PIECE_BYTES, 7.3)

        async def written():
            await site.write("config", "main", configuration(f"{site.origin_host}:{deployment.ORIGIN_PORT}"))
            return True

        await site.until("the store", written, 5)
        self.entries = [(f"front-{zone}-1", zone, f"{site.prefix}.{40 + i}") for i, zone in enumerate(ZONES)]
        site.seeds = [f"{ip}:{deployment.CONTROL_PORT}" for _, _, ip in self.entries]
        for i, zone in enumerate(ZONES):
            settings = {"name": f"worker-{zone}", "number": i, "host": f"{site.prefix}.{60 + i}", "port": deployment.WORKER_PORT, "zone": zone,
                        "service": "llm", "model": MODEL, "pieces": PIECES, "piece_bytes": PIECE_BYTES, "holds": True, "warm_s": 0.3,
                        "heartbeat_s": deployment.HEARTBEAT_S, "store": [site.store_host, deployment.STORE_PORT],
                        "folder": os.path.join(site.folder, f"staged-{zone}"), "slow_s": 0, "slow_ms": 0, "events": 14, "event_ms": 20}
            site.start_stand_in(settings["name"], "worker.py", json.dumps(settings))
        self.processes = {zone: site.start_entry(name, zone, ip) for name, zone, ip in self.entries}
        for i, zone in enumerate(ZONES):
            site.start_agent(f"side-{zone}-1", zone, f"{site.prefix}.{60 + i}")
        for _, _, ip in self.entries:
            await site.until("an entry", lambda ip=ip: site.is_ready(ip), 10)

    async def traffic(self, zone):
        clients = [Client(self, zone, number % 5 == 0) for number in range(CLIENTS_PER_ZONE)]
        tasks = []
        number = 0
        while True:
            number += 1
            tasks.append(asyncio.ensure_future(clients[number % CLIENTS_PER_ZONE].request()))
            await asyncio.sleep(1 / REQUESTS_PER_S_AND_ZONE)

    async def run(self):
        await self.start()
        await asyncio.sleep(LEAD_S)
        traffic = [asyncio.ensure_future(self.traffic(zone)) for zone in ZONES]
        await asyncio.sleep(BEFORE_S)
        leaving = "lima-callao"
        if self.trouble:
            self.processes[leaving].send_signal(signal.SIGTERM)
            self.note(f"front-{leaving}-1 gets SIGTERM and leaves")
        await asyncio.sleep(AFTER_S)
        for task in traffic:
            task.cancel()
        await asyncio.sleep(1)

    def judge(self):
        for zone in ZONES:
            self.record += self.site.log_of(f"worker-{zone}")
        total = sum(count for count, _ in self.sent.values())
        elsewhere = sum(count for _, count in self.sent.values())
        summary = [f"requests by the client's zone, and those sent to a machine in a region that is neither the home nor the client's: {self.sent}",
                   f"all: {elsewhere} of {total} = {elsewhere / max(1, total):.3f}; the most is {LARGEST_SHARE}", f"answers: {self.answers}"]
        if total == 0 or self.answers.get(200, 0) < total / 2:
            raise deployment.CannotRun("the deployment serves too little to judge: " + "; ".join(summary))
        return elsewhere > LARGEST_SHARE * total, summary


def main():
    trouble = os.environ.get("TROUBLE", "1") != "0"
    code, summary, case = 2, [], None
    try:
        case = Case(trouble)
        asyncio.run(case.run())
        broken, summary = case.judge()
        code = 1 if broken else 0
        summary.append("HOME is broken" if broken else "HOME held")
    except (deployment.CannotRun, OSError) as failure:
        summary = [f"the case could not run: {failure}"]
    finally:
        if case is not None:
            case.site.stop()
            with open(os.path.join(HERE, "record.txt"), "w", encoding="utf-8") as file:
                file.write("\n".join([f"TROUBLE={int(trouble)}"] + summary + [""] + case.record) + "\n")
    print("\n".join(summary))
    sys.exit(code)


main()
