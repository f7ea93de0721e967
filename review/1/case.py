"""Bookings whose client offers to change the protocol (`Upgrade: h2c`): what reaches the server of their bodies.

An HTTP/1.1 client may offer another protocol with any request; who doesn't speak it serves the request as it is. With
TROUBLE=0 the clients send the same bookings without the offer.
"""

from __future__ import annotations

import asyncio
import os
from pathlib import Path

from lab.standins import Platform, Server
from review import harness

BOOKINGS = 10
#: The offer, as usual HTTP clients send it with the first request on a connection.
OFFER = (
    "Connection: Upgrade, HTTP2-Settings",
    "Upgrade: h2c",
    "HTTP2-Settings: AAEAAEAAAAIAAAABAAMAAABkAAQBAAAAAAUAAEAA",
)


async def case(record: harness.Record, trouble: bool) -> bool:
    """Play the case; whether the rule was broken."""
    platform = Platform()
    await platform.listen()
    desks = [Server("topup-svc", zone, slots=6, queue=24, work_s=0.05) for zone in ("east", "west", "east")]
    for server in desks:
        await server.listen()
        platform.servers.append(server)
    harness.Deployment.record = record
    async with harness.Deployment(platform.address, edges=2) as system:
        await harness.configure(system, [harness.route("booking", "/book/", "effectful", "topup-svc", 6000)])
        sent: dict[bytes, bytes] = {}
        answers: dict[bytes, int | None] = {}
        for number in range(2 * BOOKINGS):
            ident = f"booking-{number}"
            body = f'{{"subscriber": "{number:04}", "amount": {100 + number}}}'.encode()
            sent[ident.encode()] = body
            client = harness.Client(record, system.fronts[number % 2])
            answers[ident.encode()] = await client.call(
                "POST", f"/book/{number}", ident, body, headers=OFFER if trouble else (), chunked=number >= BOOKINGS
            )
            client.close()
            await asyncio.sleep(0.02)
        changed = 0
        for server in desks:
            for ident_ran, method, target, body in server.ran:
                whole = body == sent[ident_ran]
                changed += not whole
                record(f"{server.ident} ran {ident_ran.decode()}: {method.decode()} {target.decode()} body {body!r}")
                record(f"  sent was {sent[ident_ran]!r}; answer to the client: {answers[ident_ran]}")
        good = sum(status == 200 for status in answers.values())
        text = f"bookings that ran with a changed body: {changed} of {len(sent)}; answered with 200: {good}"
        record(text)
        print(text)
        return changed > 0


if __name__ == "__main__":
    harness.run(case, Path(os.path.abspath(__file__)).parent)
