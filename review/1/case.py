"""WHOLE: an agent that stands still between its last comparison of the staged pieces and the order to load them."""

import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
from smallsite import CHUNKS, MODEL, TROUBLE, Client, Engine, main, now, piece, stream_headers  # noqa: E402

FOLDER = os.path.dirname(os.path.abspath(__file__))
# The longest freeze of a side machine in the site file.
FREEZE_S = 4.0
# The rule excuses a piece that turned bad in the last 3 s.
EXCUSED_S = 3.0


async def case(site):
    await site.start_platform({"lima-miraflores": "lima", "cusco-wanchaq": "cusco"})
    engines = [await site.add(Engine(site, "i-%d" % i, site.ip(), "bench-assistant", zone, version=1))
               for i, zone in enumerate(("lima-miraflores", "lima-miraflores", "cusco-wanchaq", "cusco-wanchaq"))]
    site.configure([site.route("cure", "/cure/", "streaming", "bench-assistant", 6000, 400, sticky=True, resumable=True, gapTargetMs=400)],
                   [site.model_service("bench-assistant"), site.origin_service("ledger-room", "lima-miraflores")])
    entry = await site.add_entry("lima-miraflores")
    agents = {engine.id: await site.add_agent(engine) for engine in engines}
    await site.all_ready()
    await asyncio.sleep(3)

    struck = []

    async def strike(engine):
        agent = agents[engine.id]
        await asyncio.sleep(0.1)
        agent.signal(signal.SIGSTOP)
        await asyncio.sleep(0.3)
        engine.spoil(7)
        await asyncio.sleep(FREEZE_S - 0.3)
        agent.signal(signal.SIGCONT)

    # The agent compares all staged pieces twice; the second time it finds the last one as it should be.
    def staged_read(engine, index):
        whole = index == CHUNKS - 1 and all(engine.staged.get(i) == piece(2, i) for i in range(CHUNKS))
        if whole and engine.version == 1 and not struck:
            struck.append(engine)
            site.record.line("worker", engine.id, "the last staged piece has been compared")
            if TROUBLE:
                site.spawn(strike(engine))

    for engine in engines:
        engine.on_staged_read = staged_read
    until = now() + 22
    streams = []

    async def traffic():
        client = Client(site, entry)
        while now() < until:
            streams.append(await client.call("/cure/1", 6000, headers=stream_headers()))
            await asyncio.sleep(0.05)

    clients = [site.spawn(traffic()) for _ in range(24)]
    await asyncio.sleep(2)
    site.store.put("versions", MODEL, {"model": MODEL, "version": 2})
    site.record.line("operator names version 2")
    await asyncio.gather(*clients)

    site.record.say("streams:", len(streams), "complete:", sum(1 for stream in streams if stream.end == "complete" and stream.status == 200))
    broken = []
    for engine in engines:
        spoilt = [(index, what) for index, what, age in engine.taken_wrong if what != "spoilt" or age > EXCUSED_S]
        tokens = engine.ran_on_wrong
        site.record.say("worker", engine.id, "holds version", engine.version, "wrong pieces", engine.taken_wrong, "requests begun on them", tokens)
        if spoilt and tokens:
            broken.append("WHOLE: %d requests began on worker %s with layers that were taken with %s" % (tokens, engine.id, engine.taken_wrong))
    return broken


main(FOLDER, case)
