"""A plain service as a process of its own. It ends its answers with their connections, as PROTOCOL.md and RULES.md
allow ("An answer from an engine may lack a length and finish when its connection does").

Arguments: HOST PORT ID. Writes a line for each step to standard output.
"""
import asyncio
import os
import sys

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
import standin  # noqa: E402

BODY_BYTES = 4800  # the largest answer of a plain service of the sites
PARTS = 4
PART_PAUSE_S = 0.05


def whole_body(identity):
    """What the service answers to this request."""
    return (identity.encode() + b"." * BODY_BYTES)[:BODY_BYTES - 4] + b"end\n"


async def serve(reader, writer):
    try:
        request = await standin.read_request(reader)
        if request.first_line.startswith("GET /health"):
            writer.write(standin.response_bytes(200, [("Shuntrun-Instance-Id", sys.argv[3])], b""))
            return
        identity = request.get("shuntrun-request-id")
        print("runs %s" % identity, flush=True)
        body = whole_body(identity)
        writer.write(standin.head_bytes("HTTP/1.1 200 OK", [
            ("Shuntrun-Request-Id", identity), ("Shuntrun-Response-Seal", "3e1b.07.5a2.600.0.c9f2a4d1"),
            ("Shuntrun-Instance-Id", sys.argv[3]), ("Connection", "close")]))
        size = len(body) // PARTS
        for part in range(PARTS):
            writer.write(body[part * size:(part + 1) * size])
            await writer.drain()
            print("sent %d of %d bytes of %s" % ((part + 1) * size, len(body), identity), flush=True)
            await asyncio.sleep(PART_PAUSE_S)
    except (OSError, asyncio.IncompleteReadError):
        pass
    finally:
        writer.close()


async def main():
    server = await asyncio.start_server(serve, sys.argv[1], int(sys.argv[2]))
    print("listens", flush=True)
    async with server:
        await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main())
