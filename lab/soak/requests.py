"""Requests drawn from what RFC 9110 and 9112 and PROTOCOL.md allow."""

from __future__ import annotations

import random
from dataclasses import dataclass

from lab.local_cluster import HOST

#: Texts within bodies that a reader must not take for a request or a response.
QUOTED_REQUEST = b"GET /find/hidden HTTP/1.1\r\nHost: demo.example\r\nAttempt-Id: hidden\r\n\r\n"
QUOTED_RESPONSE = b"HTTP/1.1 200 OK\r\nAttempt-Id: hidden\r\nServer-Seal: a.b\r\nContent-Length: 2\r\n\r\nok"
UPGRADE_OFFER = ("Connection: Upgrade, HTTP2-Settings", "Upgrade: h2c", "HTTP2-Settings: AAEAAEAAAAIAAAAB")
SHARE_OF_READS, SHARE_OF_OFFERS, SHARE_OF_LARGE, SHARE_CHUNKED, SHARE_HASTY = 0.6, 0.1, 0.05, 0.5, 0.1
LARGE_BYTES = 400_000
MOST_CHUNK_BYTES = 30_000
#: Milliseconds that a client waits: of most, and of those in haste.
USUAL_LEFT_MS, HASTY_LEFT_MS = (3000, 6000), (5, 60)


@dataclass(frozen=True, slots=True)
class DrawnRequest:
    """A proper request, and what must reach a server of it."""

    ident: str
    method: str
    target: str
    body: bytes
    message: bytes
    """All bytes that the client sends."""
    left_ms: int
    ends_connection: bool
    """The client takes no further response on this connection."""

    @property
    def repeatable(self) -> bool:
        """Whether the route is `idempotent`."""
        return self.target.startswith("/find/")


def draw_request(rng: random.Random, ident: str) -> DrawnRequest:
    """Draw one request."""
    reads = rng.random() < SHARE_OF_READS
    method = rng.choice(["GET", "GET", "GET", "HEAD"]) if reads else rng.choice(["POST", "POST", "PUT", "PATCH"])
    target = f"/{'find' if reads else 'book'}/{rng.randrange(1000)}{rng.choice(['', '?a=b%20c', '?x'])}"
    body = b"" if reads else draw_body(rng)
    left_ms = rng.randint(*(HASTY_LEFT_MS if rng.random() < SHARE_HASTY else USUAL_LEFT_MS))
    version = "1.0" if rng.random() < 0.03 else "1.1"
    offers = rng.random() < SHARE_OF_OFFERS
    headers = [f"Host: {HOST}", f"Attempt-Id: {ident}", f"Time-Left-Ms: {left_ms}", *draw_headers(rng, offers)]
    framing, content = frame_body(rng, body, version) if not reads else ((), b"")
    headers += framing
    if body and version == "1.1" and rng.random() < 0.1:
        headers.append("Expect: 100-continue")
    rng.shuffle(headers)
    head = "\r\n".join((f"{method} {target} HTTP/{version}", *(vary_case(rng, line) for line in headers), "", ""))
    ends = offers or version == "1.0"
    return DrawnRequest(ident, method, target, body, head.encode() + content, left_ms, ends)


def draw_body(rng: random.Random) -> bytes:
    """Draw a body: empty, small, with quoted messages, or large."""
    if rng.random() < SHARE_OF_LARGE:
        return rng.randbytes(rng.randrange(LARGE_BYTES))
    part = rng.choice([b"", QUOTED_REQUEST, QUOTED_RESPONSE, b"0\r\n\r\n"])
    return rng.randbytes(rng.randrange(200)) * rng.choice([0, 1, 1]) + part


def draw_headers(rng: random.Random, offers_upgrade: bool) -> list[str]:
    """Draw headers that change nothing of what a server gets of the request itself."""
    headers = [f"X-Note-{number}: {'n' * rng.randrange(200)}" for number in range(rng.randrange(4))]
    if offers_upgrade:
        headers += UPGRADE_OFFER
    elif rng.random() < 0.1:
        headers += ["Connection: X-Hop", "X-Hop: 1"]
    return headers


def frame_body(rng: random.Random, body: bytes, version: str) -> tuple[tuple[str, ...], bytes]:
    """The framing headers of a body, and its bytes as sent."""
    if version == "1.0" or rng.random() >= SHARE_CHUNKED:
        return (f"Content-Length: {len(body)}",), body
    content, rest = b"", body
    while rest:
        size = rng.randint(1, MOST_CHUNK_BYTES)
        chunk, rest = rest[:size], rest[size:]
        extension = rng.choice([b"", b";a=b", b';c="d"'])
        content += b"%x%s\r\n%s\r\n" % (len(chunk), extension, chunk)
    trailer = rng.choice([b"", b"X-Trailer: t\r\n"])
    return ("Transfer-Encoding: chunked",), content + b"0\r\n" + trailer + b"\r\n"


def vary_case(rng: random.Random, line: str) -> str:
    """A header line with its name in another case, which means the same."""
    name, colon, value = line.partition(":")
    return rng.choice([name, name.lower(), name.upper()]) + colon + value
