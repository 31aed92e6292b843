"""A stand-in for the platform's metadata store (PROTOCOL.md, "The platform's metadata store"): one revision counter, lists, watches, conditions by
revision, and leases of the kind "servers". It is always sound."""

import asyncio
import json
import sys
import time

import http11

PAGE = 500


class Store:
    def __init__(self):
        self.revision = 100
        self.objects = {}
        self.history = []
        self.renewed = {}
        self.changed = asyncio.Condition()

    def wire(self, entry):
        return {"metadata": {"name": entry["name"], "revision": entry["revision"], "created": entry["created"], "finalizers": [], "deleting": False},
                "spec": entry["spec"], "status": entry["status"]}

    async def note(self, kind, entry, deleted):
        self.history.append((self.revision, kind, self.wire(entry), deleted))
        async with self.changed:
            self.changed.notify_all()

    async def put(self, kind, name, spec):
        entry = self.objects.get((kind, name))
        if entry is not None and kind == "servers":
            self.renewed[name] = time.monotonic()
            same = {key: value for key, value in spec.items() if key != "seq"} == {key: value for key, value in entry["spec"].items() if key != "seq"}
            if same:
                return entry
        if entry is not None and entry["spec"] == spec:
            return entry
        self.revision += 1
        if entry is None:
            entry = {"name": name, "created": self.revision, "status": None}
            self.objects[(kind, name)] = entry
            self.renewed[name] = time.monotonic()
        entry["spec"] = spec
        entry["revision"] = self.revision
        await self.note(kind, entry, False)
        return entry

    async def delete(self, kind, name):
        entry = self.objects.pop((kind, name), None)
        if entry is None:
            return False
        self.revision += 1
        entry["revision"] = self.revision
        await self.note(kind, entry, True)
        return True

    async def expire(self, heartbeat_s):
        while True:
            await asyncio.sleep(0.1)
            now = time.monotonic()
            for kind, name in list(self.objects):
                if kind == "servers" and now - self.renewed[name] > 3 * heartbeat_s:
                    await self.delete(kind, name)

    async def watch(self, kind, since, wait_ms):
        until = time.monotonic() + wait_ms / 1000
        while True:
            events = [{"object": wire, "deleted": deleted} for revision, changed, wire, deleted in self.history if changed == kind and revision > since]
            left = until - time.monotonic()
            if events or left <= 0:
                return {"events": events, "currentRev": self.revision}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass

    async def handle(self, request, responder, _reader):
        parts = request.path.split("/")
        if len(parts) < 4 or parts[:3] != ["", "v1", "objects"]:
            await responder.send(404, "{}")
            return
        kind, name = parts[3], parts[4] if len(parts) > 4 else None
        spec = json.loads(request.body) if request.body else {}
        if request.method == "GET" and name is None and "watch" in request.query:
            answer = await self.watch(kind, int(request.query["watch"]), min(30_000, int(request.query.get("waitMs", "0"))))
        elif request.method == "GET" and name is None:
            after = request.query.get("afterRev", "")
            names = sorted(known for stored, known in self.objects if stored == kind and known > after)
            answer = {"items": [self.wire(self.objects[(kind, known)]) for known in names[:PAGE]], "truncated": len(names) > PAGE,
                      "currentRev": self.revision}
        elif request.method == "GET":
            entry = self.objects.get((kind, name))
            if entry is None:
                await responder.send(404, "{}")
                return
            answer = self.wire(entry)
        elif request.method == "POST":
            name = spec["metadata"]["name"]
            if (kind, name) in self.objects:
                await responder.send(409, json.dumps(self.wire(self.objects[(kind, name)])))
                return
            answer = self.wire(await self.put(kind, name, spec.get("spec")))
        elif request.method == "PUT":
            if (kind, name) not in self.objects:
                await responder.send(404, "{}")
                return
            wanted = spec.get("metadata", {}).get("revision")
            if wanted is not None and wanted != self.objects[(kind, name)]["revision"]:
                await responder.send(409, json.dumps(self.wire(self.objects[(kind, name)])))
                return
            answer = self.wire(await self.put(kind, name, spec.get("spec")))
        elif request.method == "DELETE":
            answer = {}
            if not await self.delete(kind, name):
                await responder.send(404, "{}")
                return
        else:
            await responder.send(405, "{}")
            return
        await responder.send(200, json.dumps(answer), [("Content-Type", "application/json")])


async def main(host, port, heartbeat_s):
    store = Store()
    await http11.serve(host, port, store.handle)
    await store.expire(heartbeat_s)


if __name__ == "__main__":
    asyncio.run(main(sys.argv[1], int(sys.argv[2]), float(sys.argv[3])))
