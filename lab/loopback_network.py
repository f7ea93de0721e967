"""Networks of 127.0.0.0/8 that one run has for itself, so that several runs on one machine do not meet."""

from __future__ import annotations

import random
import socket

#: A socket at this port of a network's last address marks it as taken, as long as it is open.
RESERVATION_PORT = 7601
#: Second numbers of addresses: for whole systems of processes, for hollow nodes (65,536 addresses), for anything else.
SYSTEM_NETWORKS, HOLLOW_NETWORKS, OTHER_NETWORKS = range(64, 250), range(16, 60), range(2, 16)
THIRD_NUMBERS = range(250)
ATTEMPTS = 1000


class NoFreeNetworkError(OSError):
    """All networks that were tried are in use."""


class LoopbackNetwork:
    """A network of 256 addresses that is reserved until `close` is called or its process ends."""

    def __init__(self, second_numbers: range = OTHER_NETWORKS, third_numbers: range = THIRD_NUMBERS) -> None:
        """Raises NoFreeNetworkError."""
        rng = random.SystemRandom()
        for _ in range(ATTEMPTS):
            self.second_number = rng.choice(second_numbers)
            self.prefix = f"127.{self.second_number}.{rng.choice(third_numbers)}"
            self.reservation = socket.socket()
            try:
                self.reservation.bind((f"{self.prefix}.255", RESERVATION_PORT))
            except OSError:
                self.reservation.close()
            else:
                return
        raise NoFreeNetworkError(f"no free network below 127.0.0.0/8 after {ATTEMPTS} attempts")

    def address(self, number: int) -> str:
        """One of its addresses, by a number from 1 to 254."""
        return f"{self.prefix}.{number}"

    def close(self) -> None:
        """Give the network back."""
        self.reservation.close()
