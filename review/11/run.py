"""A worker crashes and comes back before a version of its model has been named; the operator names version 2 while the worker's agent brings it back to
version 1. See claim.txt. Writes record.txt; exits with 1 if WHOLE was broken, 0 if it held, 2 if the case could not run."""

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

MODEL, PIECES, PIECE_BYTES = "glue510000", 96, 24576
ZONES = {"lima-miraflores": "lima", "cusco-wanchaq": "cusco", "arequipa-cayma": "arequipa"}
KEY = "jnbanfqasnmgkcuyj8pj"
# The traffic starts 10 s after the machines do.
LEAD_S = 10.0
DOWN_S = 2.0
# From the restart of the worker to the naming of the version.
NAMED_AFTER_S = 0.4
REQUESTS_PER_S = 15


def configuration():
    engine = {"slots": 16, "kvCapacity": 1180000, "kvTokenBytes": 163840, "linkMbps": 400000.0, "stride": 5,
              "models": [{"name": MODEL, "pace": 1.0, "loadS": 4.0, "warmS": 0.3}], "sizeMb": 266000.0, "step_ms": 8.87, "per_seq_ms": 0.0388,
              "context_per_k": 0.0227, "read_per_s": 19100.0, "pairs_per_m": 1.47, "chunk": 2048, "report_lag_ms": 200.0, "layers": 16,
              "layer_mb": 4540.0, "act_bytes": 16384, "chunks": PIECES, "chunkBytes": PIECE_BYTES, "usual": {"prompt": 977, "answer": 94}}
    return {"version": 7,
            "routes": [{"name": "cure-note", "host": "bench.example", "pathPrefix": "/cure/", "kind": "streaming", "timeoutMs": 6000,
                        "targetLatencyMs": 400, "priority": 1, "service": "llm", "maxAttempts": 2, "public": False, "sticky": True,
                        "resumable": True, "gapTargetMs": 400, "allowedRegions": []}],
            "services": [{"name": "llm", "healthPath": "/health", "maxConns": 424, "protocol": "h1", "tls": False, "coldStartS": 3.0,
                          "coldPerS": 36.0, "engine": engine},
                         {"name": "ledger-room", "origin": "ORIGIN", "zone": "cusco-wanchaq", "linkMbps": 7.3, "maxConns": 48}],
            "tenants": [{"name": "bozi300", "apiKeys": [KEY]}],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}}


class Case:
    def __init__(self, trouble):
        self.trouble = trouble
        self.site = deployment.Site(ZONES)
        self.record = []
        self.workers = {}
        self.calls = 0
        self.answers = {}

    def note(self, text):
        self.record.append(f"{time.strftime('%H:%M:%S')}.{int(time.time() * 1000) % 1000:03d}  {text}")

    def start_worker(self, name, holds):
        zone, ip, number = self.workers[name]
        settings = {"name": name, "number": number, "host": ip, "port": deployment.WORKER_PORT, "zone": zone, "service": "llm", "model": MODEL,
                    "pieces": PIECES, "piece_bytes": PIECE_BYTES, "holds": holds, "warm_s": 0.3, "heartbeat_s": deployment.HEARTBEAT_S,
                    "store": [self.site.store_host, deployment.STORE_PORT], "folder": os.path.join(self.site.folder, f"staged-{name}"),
                    "slow_s": 5.0, "slow_ms": 8, "events": 14, "event_ms": 44}
        return self.site.start_stand_in(name, "worker.py", json.dumps(settings))

    async def start(self):
        site = self.site
        site.start_store()
        site.start_stand_in("origin", "origin.py", site.origin_host, deployment.ORIGIN_PORT, MODEL, PIECES, PIECE_BYTES, 7.3)
        config = configuration()
        config["services"][1]["origin"] = f"{site.origin_host}:{deployment.ORIGIN_PORT}"

        async def written():
            await site.write("config", "main", config)
            return True

        await site.until("the store", written, 5)
        entries = [(f"front-{zone}-1", zone, f"{site.prefix}.{40 + i}") for i, zone in enumerate(ZONES)]
        site.seeds = [f"{ip}:{deployment.CONTROL_PORT}" for _, _, ip in entries]
        self.processes = {}
        for i in range(6):
            zone = list(ZONES)[i % 3]
            name = f"worker-{zone}-{i // 3 + 1}"
            self.workers[name] = (zone, f"{site.prefix}.{60 + i}", i)
            self.processes[name] = self.start_worker(name, True)
        for name, zone, ip in entries:
            site.start_entry(name, zone, ip)
        for name, (zone, ip, _) in self.workers.items():
            site.start_agent(f"side-{name}", zone, ip)
        self.entries = [ip for _, _, ip in entries]
        for ip in self.entries:
            await site.until("an entry", lambda ip=ip: site.is_ready(ip), 10)

    async def one_call(self, number):
        ip = random.choice(self.entries)
        attempt = f"{number:06x}{random.randrange(1 << 40):010x}"
        headers = [("Host", "bench.example"), ("X-Attempt-Id", attempt), ("X-Deadline-Ms", 6000), ("X-Api-Key", KEY), ("X-Model", MODEL),
                   ("X-Token-Count", "647,70"), ("X-Prompt-Prefix", f"{number % 60:08x}:40,{number:08x}:607")]
        try:
            status, fields, _ = await http11.call(ip, deployment.FRONT_PORT, "POST", "/cure/2f", headers, b"q" * 320, 6)
            seal = fields.get("x-server-seal", "none")
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ConnectionError) as failure:
            status, seal = type(failure).__name__, "none"
        self.calls += 1
        self.answers[status] = self.answers.get(status, 0) + 1
        self.note(f"request {attempt} to {ip}: {status}, seal {seal}")

    async def traffic(self):
        tasks = []
        number = 0
        while True:
            number += 1
            tasks.append(asyncio.ensure_future(self.one_call(number)))
            await asyncio.sleep(1 / REQUESTS_PER_S)

    async def run(self):
        await self.start()
        self.note("the deployment runs")
        await asyncio.sleep(LEAD_S)
        traffic = asyncio.ensure_future(self.traffic())
        await asyncio.sleep(4)
        victim = "worker-cusco-wanchaq-1"
        if self.trouble:
            self.processes[victim].send_signal(signal.SIGKILL)
            self.note(f"{victim} is killed")
        await asyncio.sleep(DOWN_S)
        if self.trouble:
            self.start_worker(victim, False)
            await self.site.until("the restarted worker", self.answers_report(victim), 3)
            self.note(f"{victim} is back and holds no layers; its staged pieces are those of version 1")
        await asyncio.sleep(NAMED_AFTER_S)
        await self.site.write("versions", MODEL, {"model": MODEL, "version": 2})
        self.note("the store has acknowledged version 2")
        await asyncio.sleep(16)
        traffic.cancel()
        await asyncio.sleep(1)

    def answers_report(self, name):
        async def answers():
            status, _, _ = await http11.call(self.workers[name][1], deployment.WORKER_PORT, "GET", "/v1/report", timeout=0.5)
            return status == 200

        return answers

    def judge(self):
        events = []
        for name in self.workers:
            events += [json.loads(line) for line in self.site.log_of(name) if line.startswith("{")]
        events.sort(key=lambda event: event["at"])
        tokens = [event for event in events if event["event"] == "token"]
        broken = [event for event in tokens if event["bad_pieces"]]
        for event in events:
            self.record.append(json.dumps(event))
        for name in self.workers:
            self.record += [f"side-{name}: {line}" for line in self.site.log_of(f"side-{name}")
                            if any(f'"{event}"' in line for event in ("engine_state", "load_ordered", "loaded", "weights_named", "manifest_read"))]
        final = {name: None for name in self.workers}
        for event in events:
            if event["event"] == "loaded":
                final[event["worker"]] = event["version"]
        summary = [f"requests answered: {self.calls}, by status: {self.answers}", f"versions loaded last: {final}",
                   f"runs that began: {len(tokens)}; on layers taken from pieces of another version: {len(broken)}"]
        if not tokens or self.answers.get(200, 0) < self.calls / 2:
            raise deployment.CannotRun("the deployment serves too little to judge: " + "; ".join(summary))
        return len(broken), summary


def main():
    trouble = os.environ.get("TROUBLE", "1") != "0"
    code, summary, case = 2, [], None
    try:
        case = Case(trouble)
        asyncio.run(case.run())
        broken, summary = case.judge()
        code = 1 if broken else 0
        summary.append("WHOLE is broken" if broken else "WHOLE held")
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
