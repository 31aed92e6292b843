"""A stand-in for a model worker (PROTOCOL.md): it registers itself in the store, stages and loads weights, and answers streams. It is always sound; what it
runs and loads is written to standard output, one JSON object a line. Staged data lies in a folder, so that it survives a crash."""

import asyncio
import json
import os
import signal
import sys
import time

import http11
from origin import digest, piece


class Worker:
    def __init__(self, settings):
        self.settings = settings
        self.model = settings["model"]
        self.born = int(time.time() * 1000)
        self.started = time.monotonic()
        self.id = f"i-{settings['number']}-{self.born % 100_000_000:08x}"
        self.sequence = 0
        self.beats = 0
        self.busy = False
        self.running = 0
        self.loaded = 1 if settings["holds"] else 0
        # Pieces of another version, spoilt or missing among those that were taken.
        self.bad_pieces = []
        os.makedirs(settings["folder"], exist_ok=True)
        if settings["holds"]:
            for index in range(settings["pieces"]):
                self.store_piece(index, piece(self.model, 1, index, settings["piece_bytes"]))

    def log(self, event, **fields):
        print(json.dumps({"at": round(time.time(), 3), "worker": self.settings["name"], "id": self.id, "event": event, **fields}), flush=True)

    def path_of(self, index):
        return os.path.join(self.settings["folder"], f"{index}")

    def store_piece(self, index, data):
        temporary = self.path_of(index) + ".new"
        with open(temporary, "wb") as file:
            file.write(data)
        os.replace(temporary, self.path_of(index))

    def staged(self, index):
        try:
            with open(self.path_of(index), "rb") as file:
                return file.read()
        except FileNotFoundError:
            return None

    async def slow_start(self):
        """A worker that has just started is slow for some seconds."""
        if not self.settings["holds"] and time.monotonic() - self.started < self.settings["slow_s"]:
            await asyncio.sleep(self.settings["slow_ms"] / 1000)

    def models(self):
        if self.loaded == 0:
            return {"models": [], "layers": None}
        return {"models": [{"name": self.model, "version": self.loaded, "adapters": []}], "layers": {"from": 0, "to": 16, "version": self.loaded}}

    def registration(self):
        self.beats += 1
        return {"service": self.settings["service"], "addr": f"{self.settings['host']}:{self.settings['port']}", "zone": self.settings["zone"],
                "version": "v1", "slots": 16, "state": "ready", "coldLeftMs": 0, "stage": "both", "seq": self.beats, "born": self.born, **self.models()}

    async def beat(self):
        """Registers the worker; a beat that changes only its count renews the lease."""
        host, port = self.settings["store"]
        while True:
            body = json.dumps({"metadata": {"name": self.id}, "spec": self.registration()}).encode()
            try:
                status, _, _ = await http11.call(host, port, "PUT", f"/v1/objects/servers/{self.id}", body=body)
                if status == 404:
                    await http11.call(host, port, "POST", "/v1/objects/servers", body=body)
            except (OSError, asyncio.TimeoutError):
                pass
            loaded = self.loaded
            for _ in range(int(self.settings["heartbeat_s"] * 20)):
                await asyncio.sleep(0.05)
                if self.loaded != loaded:
                    break

    async def take(self, version):
        """Loads what lies staged at the moment at which the order is accepted."""
        found = []
        for index in range(self.settings["pieces"]):
            data = self.staged(index)
            if data != piece(self.model, version, index, self.settings["piece_bytes"]):
                others = [other for other in range(1, 9) if data == piece(self.model, other, index, self.settings["piece_bytes"])]
                found.append({"piece": index, "holds": f"version {others[0]}" if others else "missing" if data is None else "spoilt"})
        self.log("order_accepted", version=version, bad_pieces=found)
        self.busy, self.loaded = True, 0
        await asyncio.sleep(self.settings["warm_s"])
        self.loaded, self.busy, self.bad_pieces = version, False, found
        self.log("loaded", version=version, bad_pieces=len(found))

    async def order(self, request, responder):
        order = json.loads(request.body)
        if order.get("op") != "start":
            await responder.send(400)
        elif self.busy or order.get("precondition", self.sequence) != self.sequence:
            await responder.send(409)
        elif self.loaded == order["version"]:
            await responder.send(200)
        else:
            self.sequence += 1
            asyncio.ensure_future(self.take(order["version"]))
            await responder.send(202, reason="Accepted")

    async def stream(self, request, responder):
        attempt = request.header("X-Attempt-Id", "")
        echo = [("X-Attempt-Id", attempt)]
        wanted = request.header("X-Expect-Version")
        if request.header("X-Expect-Instance", self.id) != self.id or (wanted is not None and int(wanted) != self.loaded):
            await responder.send(421, b"", echo + [("X-Worker-Id", self.id)], "Misdirected Request")
            return
        if self.loaded == 0 or self.running >= 16:
            await responder.send(503, b"", echo + [("X-Not-Executed", "1")], "Service Unavailable")
            return
        parts = [part.strip().split(":")[0] for part in request.header("X-Prompt-Prefix", "").split(",")]
        crashing = self.settings.get("crashing_part") in parts[:-1]
        if crashing:
            self.log("crashing_part", attempt=attempt, last_event_id=request.header("Last-Event-Id"))
        self.running += 1
        version = self.loaded
        try:
            first = int(request.header("Last-Event-Id", "0")) + 1
            self.log("token", attempt=attempt, version=version, bad_pieces=len(self.bad_pieces))
            await responder.begin_stream(echo + [("X-Server-Seal", f"seal-{self.id}"), ("Content-Type", "text/event-stream"),
                                                 ("X-Weight-Versions", version)])
            if crashing and self.settings["crash_after_s"] is not None:
                asyncio.get_running_loop().call_later(self.settings["crash_after_s"], self.crash, attempt)
            for number in range(first, self.settings["events"] + 1):
                if self.loaded != version:
                    # The weights change: what still runs is cut.
                    raise ConnectionError("cut by a load")
                await responder.chunk(f"id: {number}\ndata: {attempt} {number}\n\n".encode())
                await asyncio.sleep(self.settings["event_ms"] / 1000)
            await responder.end_stream()
        finally:
            self.running -= 1

    def crash(self, attempt):
        self.log("crash", attempt=attempt)
        os.kill(os.getpid(), signal.SIGKILL)

    async def handle(self, request, responder, _reader):
        if request.path == "/v1/report":
            await responder.send(200, json.dumps({"stage": "both", "busy": self.busy, "seq": self.sequence, "waiting": 0, "running": self.running,
                                                  "kvUsed": 0, "kvTotal": 1_180_000, "handles": 0, "pace": 1, "born": self.born, **self.models()}))
        elif request.path == f"/v1/stage-put/{self.model}":
            await self.slow_start()
            self.store_piece(int(request.query["itemCount"]), request.body)
            await responder.send(200)
        elif request.path == f"/v1/stage-get/{self.model}" and "itemCount" in request.query:
            await self.slow_start()
            data = self.staged(int(request.query["itemCount"]))
            await responder.send(404 if data is None else 200, data or b"")
        elif request.path == f"/v1/stage-get/{self.model}":
            held = [index for index in range(self.settings["pieces"]) if self.staged(index) is not None]
            await responder.send(200, json.dumps({"held": held}))
        elif request.path == "/v1/order" and request.method == "POST":
            await self.order(request, responder)
        elif request.path == "/health":
            await responder.send(200, b"", [("X-Worker-Id", self.id)])
        else:
            await self.stream(request, responder)


async def main(settings):
    worker = Worker(settings)
    await http11.serve(settings["host"], settings["port"], worker.handle)
    worker.log("started", holds=worker.loaded)
    await worker.beat()


if __name__ == "__main__":
    asyncio.run(main(json.loads(sys.argv[1])))
