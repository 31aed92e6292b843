"""MIXED: a stream that is resumed because its worker's machine stands still meets a worker that answers with a failure."""

import asyncio
import os
import random
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
from smallsite import TROUBLE, Client, Engine, main, now, response_bytes, stream_headers  # noqa: E402

FOLDER = os.path.dirname(os.path.abspath(__file__))
# Limits: one machine at a time stands still for 4 s; a share of 0.15 of the workers (here one of seven) fails 0.45 of its requests
# for 6.5 s at a time, while its status check is good.
FREEZE_S = 4.0
GREY_SHARE, GREY_S = 0.45, 6.5
# The worker begins to fail this long after the machine stands still.
GREY_AFTER_S = 1.2
ENGINES, CLIENTS, ROUNDS, ROUND_S = 7, 70, 9, 8.5


class TroubledEngine(Engine):
    frozen_until = 0.0
    grey_from = 0.0

    async def thaw(self):
        while now() < self.frozen_until:
            await asyncio.sleep(0.02)

    async def handle(self, request, writer):
        await self.thaw()
        return await super().handle(request, writer)

    async def before_event(self, request, writer, attempt, number):
        await self.thaw()

    async def run(self, request, writer, attempt):
        if self.grey_from <= now() < self.grey_from + GREY_S and random.random() < GREY_SHARE:
            self.record.line("worker", self.id, "answers 500 to", attempt, "from event", request.header("Last-Event-Id"))
            self.site.failed.add(attempt)
            return response_bytes(500, b"internal error", self.answer_headers(request, attempt), "text/plain")
        return await super().run(request, writer, attempt)


async def case(site):
    site.failed = set()
    await site.start_platform({"lima-miraflores": "lima", "cusco-wanchaq": "cusco"})
    engines = [await site.add(TroubledEngine(site, "i-%d" % i, site.ip(), "bench-assistant", list(site.zones)[i % 2])) for i in range(ENGINES)]
    for engine in engines:
        engine.event_s = 0.1
    site.configure([site.route("cure", "/cure/", "streaming", "bench-assistant", 6000, 400, sticky=True, resumable=True, gapTargetMs=400)],
                   [site.model_service("bench-assistant"), site.origin_service("ledger-room", "lima-miraflores")])
    entries = [await site.add_entry(zone) for zone in site.zones]
    for engine in engines:
        await site.add_agent(engine)
    await site.all_ready()
    await asyncio.sleep(4)
    until = now() + ROUNDS * ROUND_S + 4
    answers = []

    async def traffic(entry):
        client = Client(site, entry)
        await asyncio.sleep(random.uniform(0, 2))
        while now() < until:
            answers.append(await client.call("/cure/1", 6000, headers=stream_headers()))
            await asyncio.sleep(random.uniform(0.05, 0.2))

    clients = [site.spawn(traffic(entry)) for entry in entries for _ in range(CLIENTS // 2)]
    await asyncio.sleep(3)
    for _ in range(ROUNDS):
        # In one zone, whose entry sends most of its requests there.
        zone = random.choice(list(site.zones))
        grey, frozen = random.sample([engine for engine in engines if engine.zone == zone], 2)
        if TROUBLE:
            grey.grey_from, frozen.frozen_until = now() + GREY_AFTER_S, now() + FREEZE_S
            site.record.line("the machine of worker", frozen.id, "stands still; soon worker", grey.id, "fails a share of its requests")
        await asyncio.sleep(ROUND_S)
    await asyncio.gather(*clients)
    broken = []
    for answer in answers:
        if answer.end.startswith("not the protocol"):
            site.record.line("raw end of the answer to", answer.attempt, answer.raw[-400:])
            broken.append("MIXED: the client of %s got bytes that are no answer in the protocol, after %d bytes of its stream: %s" %
                          (answer.attempt, len(answer.body), answer.end))
    site.record.say("streams:", len(answers), "complete:", sum(1 for answer in answers if answer.end == "complete" and answer.status == 200),
                    "failed by the grey worker:", len(site.failed), "not in the protocol:", len(broken))
    return broken


main(FOLDER, case)
