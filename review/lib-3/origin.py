"""A stand-in for the service that provides weights: manifests and pieces, over a link of the stated rate. It is always sound."""

import asyncio
import hashlib
import json
import sys

import http11


def piece(model, version, index, size):
    """The bytes of a piece; the same for all that ask."""
    seed = f"{model}/{version}/{index}/".encode()
    return (hashlib.sha256(seed).digest() * (size // 32 + 1))[:size]


def digest(data):
    return hashlib.sha256(data).hexdigest()


class Origin:
    def __init__(self, model, pieces, piece_bytes, link_mbps):
        self.model, self.pieces, self.piece_bytes = model, pieces, piece_bytes
        self.bytes_per_s = link_mbps * 125_000
        self.link = asyncio.Lock()

    async def handle(self, request, responder, _reader):
        version = int(request.query.get("version", "1"))
        if request.path == f"/v1/manifest/{self.model}":
            digests = [digest(piece(self.model, version, i, self.piece_bytes)) for i in range(self.pieces)]
            body = json.dumps({"model": self.model, "version": version, "chunkBytes": self.piece_bytes, "layers": 16, "digests": digests}).encode()
        elif request.path == f"/v1/piece/{self.model}":
            body = piece(self.model, version, int(request.query["itemCount"]), self.piece_bytes)
        else:
            await responder.send(404)
            return
        async with self.link:
            await asyncio.sleep(len(body) / self.bytes_per_s)
        await responder.send(200, body)


async def main(host, port, model, pieces, piece_bytes, link_mbps):
    await http11.serve(host, port, Origin(model, pieces, piece_bytes, link_mbps).handle)
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(main(sys.argv[1], int(sys.argv[2]), sys.argv[3], int(sys.argv[4]), int(sys.argv[5]), float(sys.argv[6])))
