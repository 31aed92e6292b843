"""LOST: one entry of another writer among the registrations ends every process that reads the store, again and again."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
from smallsite import TROUBLE, Client, Worker, main, now  # noqa: E402

FOLDER = os.path.dirname(os.path.abspath(__file__))
# The rule excuses three.
ALLOWED = 3
RESTART_DELAY_S = 0.5
# A field of another type: lists in lists. The entry has some 8 KB; the store takes values of 1 MB.
DEPTH = 4000


class SlowWorker(Worker):
    """A sound worker whose requests take a while, so that some are always at work."""

    async def run(self, request, writer, attempt):
        await asyncio.sleep(0.6)
        return await super().run(request, writer, attempt)


async def case(site):
    await site.start_platform({"lima-miraflores": "lima", "cusco-wanchaq": "cusco", "arequipa-cayma": "arequipa"})
    workers = [await site.add(SlowWorker(site, "i-%d" % i, site.ip(), "order-desk", zone, 6)) for i, zone in enumerate([*site.zones, "lima-miraflores"])]
    site.configure([site.route("ship", "/ship/", "unsafe", "order-desk", 1000, 100)],
                   [site.plain_service("order-desk"), site.origin_service("ledger-room", "cusco-wanchaq")])
    entries = [await site.add_entry(zone) for zone in ("lima-miraflores", "lima-miraflores", "cusco-wanchaq", "arequipa-cayma")]
    await site.all_ready()
    await asyncio.sleep(4)
    until = now() + 16
    answers, ends = [], []

    async def traffic(entry):
        client = Client(site, entry)
        while now() < until:
            answers.append((entry, await client.call("/ship/1", 1000)))
            await asyncio.sleep(0.1)

    async def restart(entry):
        """The platform starts a process that has ended again."""
        while now() < until:
            code = await entry.process.wait()
            if now() >= until:
                return
            ends.append((entry, code))
            site.record.line(entry.name, "has ended by itself with", code)
            await asyncio.sleep(RESTART_DELAY_S)
            await entry.start()

    clients = [site.spawn(traffic(entry)) for entry in entries for _ in range(6)]
    keepers = [site.spawn(restart(entry)) for entry in entries]
    await asyncio.sleep(4)
    if TROUBLE:
        site.store.raw["(lists)"] = b"[" * DEPTH + b"]" * DEPTH
        site.store.put("servers", "x-1", {"service": "order-desk", "addr": workers[0].ip + ":9", "zone": "lima-miraflores",
                                          "version": "(lists)", "slots": 6, "state": "ready", "coldLeftMs": 0, "seq": 1})
        site.record.line("another writer adds the entry x-1, whose version is a list of lists")
    await asyncio.gather(*clients)
    for keeper in keepers:
        keeper.cancel()
    arrived = {attempt for worker in workers for _, attempt in worker.arrived}
    broken = []
    for entry in entries:
        lost = [answer for of, answer in answers if of is entry and answer.end.startswith("channel broken") and answer.attempt in arrived]
        crashes = [code for of, code in ends if of is entry]
        site.record.say(entry.name, "requests:", sum(1 for of, _ in answers if of is entry), "ended by itself:", crashes,
                        "passed on to a sound worker and closed without an answer:", len(lost))
        if len(lost) > ALLOWED:
            broken.append("LOST: %s passed %d requests on to sound workers and closed their channels without an answer; it ended by itself %d times" %
                          (entry.name, len(lost), len(crashes)))
    after = [answer for _, answer in answers[-40:]]
    site.record.say("the last 40 requests:", sum(1 for answer in after if answer.status == 200), "answered 200,",
                    sum(1 for answer in after if answer.status == 0), "without an answer")
    return broken


main(FOLDER, case)
