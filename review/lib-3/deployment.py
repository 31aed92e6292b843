"""Starts a small deployment on loopback addresses: the store, the origin, workers, and the project's own entries and agents, each a process of its own."""

import asyncio
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

import http11

HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(os.path.dirname(HERE))
DAEMON = os.path.join(ROOT, "target", "bin", "catkinlinkd")

STORE_PORT, ORIGIN_PORT, WORKER_PORT = 8007, 8006, 8001
CONTROL_PORT, READY_PORT, FRONT_PORT, DIRECTORY_PORT = 8000, 8002, 8005, 8009

# The sheet of the smallest deployment.
BOUNDS = {"seedLagS": 3, "reuseAfterS": 2, "stableWindowMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": 2000, "graceS": 8, "lossSlackMs": 200,
          "configApplyMs": 2000, "rollbackSlackMs": 250, "maxStretchMs": 5000, "failClosed": False, "revokeMs": 5000, "retryBudgetRatio": 0.2,
          "budgetWindowS": 10, "budgetExtra": 100, "coldOverage": 1.5, "coldSlack": 5, "evacuateMs": 5000, "recoverS": 12, "passMs": 120,
          "retryAfterS": 0, "version_ms": 8000, "version_all_ms": 0, "ttl_max_s": 5}
CONTRACTS = ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "places", "platform", "chunks"]
HEARTBEAT_S = 1.2


class CannotRun(Exception):
    pass


class Site:
    def __init__(self, zones):
        """`zones`: region by zone, in order."""
        self.zones = zones
        self.folder = tempfile.mkdtemp(prefix="catkinlink-review-")
        self.processes = []
        self.seeds = []
        self.prefix = self.free_prefix()
        self.store_host = f"{self.prefix}.250"
        self.origin_host = f"{self.prefix}.251"
        if not os.access(DAEMON, os.X_OK):
            raise CannotRun("target/bin/catkinlinkd is missing: run the build of the deploy file first")

    @staticmethod
    def free_prefix():
        """Three octets of a loopback network on which nobody listens at the ports of the site."""
        for _ in range(50):
            prefix = f"127.{random.randint(2, 254)}.{random.randint(1, 254)}"
            try:
                for port in (STORE_PORT, ORIGIN_PORT, WORKER_PORT, CONTROL_PORT, READY_PORT, FRONT_PORT, DIRECTORY_PORT, 7700, 9464):
                    with socket.socket() as probe:
                        probe.bind((f"{prefix}.250", port))
                return prefix
            except OSError:
                continue
        raise CannotRun("no free loopback addresses")

    def start(self, name, command, environment=None):
        output = open(os.path.join(self.folder, f"{name}.log"), "ab")
        process = subprocess.Popen(command, cwd=ROOT, stdin=subprocess.DEVNULL, stdout=output, stderr=subprocess.STDOUT,
                                   env={**os.environ, **(environment or {})})
        output.close()
        self.processes.append(process)
        return process

    def start_stand_in(self, name, program, *arguments):
        return self.start(name, [sys.executable, os.path.join(HERE, program), *[str(argument) for argument in arguments]])

    def start_store(self):
        return self.start_stand_in("store", "store.py", self.store_host, STORE_PORT, HEARTBEAT_S)

    def settings_of(self, name, zone, ip, machine_class):
        settings = {
            "nodeName": name, "role": machine_class, "machineClass": machine_class, "ip": ip, "zone": zone, "region": self.zones[zone],
            "zones": self.zones, "innerPorts": [7700, 7715], "seeds": self.seeds, "bootstrap": True, "countsAsLoss": False, "dataDir": None,
            "discovery": "platform", "entry": "directory", "heartbeatMs": int(HEARTBEAT_S * 1000), "contracts": CONTRACTS,
            "faultTolerance": {"machines": 2, "zones": 1, "regions": 0}, "bounds": BOUNDS,
            "platform": {"addr": f"{self.store_host}:{STORE_PORT}", "form": "objects", "writesPerS": 400, "readsPerS": 2000, "historyS": 20,
                         "valueBytes": 1048576, "ttlMinMs": 1000}}
        if machine_class == "front":
            settings["serves"] = ["front", "directory", "control"]
            settings["limits"] = {"cpuShare": 0.25, "cores": 1, "memoryMb": 260, "maxFds": 4200, "linkMbps": 1000.0, "diskMb": 0}
            settings["listen"] = {"front": f"{ip}:{FRONT_PORT}", "ready": f"{ip}:{READY_PORT}", "control": f"{ip}:{CONTROL_PORT}",
                                  "directory": f"{ip}:{DIRECTORY_PORT}"}
        else:
            settings["serves"] = ["side"]
            settings["limits"] = {"cpuShare": 0.3, "cores": 1, "memoryMb": 128, "maxFds": 2048, "linkMbps": 7.3, "diskMb": 0}
            settings["listen"] = {}
            settings["app"] = f"{ip}:{WORKER_PORT}"
            settings["service"] = "llm"
        # Every JSON text is YAML.
        path = os.path.join(self.folder, f"{name}.yaml")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(settings, file, indent=1)
        return path

    def start_entry(self, name, zone, ip):
        return self.start(name, [DAEMON, "--platform", "entry"], {"CATKINLINK_NODE_FILE": self.settings_of(name, zone, ip, "front")})

    def start_agent(self, name, zone, ip):
        return self.start(name, [DAEMON, "--platform", "agent"], {"CATKINLINK_NODE_FILE": self.settings_of(name, zone, ip, "side")})

    async def write(self, kind, name, spec):
        """Writes as the operator does; returns when the store has acknowledged."""
        body = json.dumps({"metadata": {"name": name}, "spec": spec}).encode()
        status, _, _ = await http11.call(self.store_host, STORE_PORT, "PUT", f"/v1/objects/{kind}/{name}", body=body)
        if status == 404:
            status, _, _ = await http11.call(self.store_host, STORE_PORT, "POST", f"/v1/objects/{kind}", body=body)
        if status != 200:
            raise CannotRun(f"the store answered {status}")

    async def until(self, what, condition, limit_s):
        until = time.monotonic() + limit_s
        while time.monotonic() < until:
            try:
                if await condition():
                    return
            except (OSError, asyncio.TimeoutError, ConnectionError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(0.1)
        raise CannotRun(f"{what}: not within {limit_s} s")

    @staticmethod
    async def is_ready(ip):
        status, _, _ = await http11.call(ip, READY_PORT, "GET", "/v1/readiness", timeout=1)
        return status == 200

    def log_of(self, name):
        try:
            with open(os.path.join(self.folder, f"{name}.log"), encoding="utf-8", errors="replace") as file:
                return file.read().splitlines()
        except FileNotFoundError:
            return []

    def stop(self):
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGKILL)
        for process in self.processes:
            process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)
