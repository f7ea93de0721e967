"""Checks shared by messages: epochs, members, views and entries. Each raises FrameError.

They reject values that no correct node sends, before the consensus code relies on them.
"""

from __future__ import annotations

from cypressbeam.errors import CypressbeamError

#: The range of valid epochs. An epoch is a counter that starts at 1, followed by 8 bits for the index of the proposer;
#: 0 means that there is none yet.
MIN_EPOCH, MAX_EPOCH = 1 << 8, 1 << 48
#: The maximum number of members in messages. The membership rules allow fewer (membership.py).
MAX_GROUP_SIZE = 64
#: The highest number of an entry; within the signed integers that the disk stores.
MAX_ENTRY_NUMBER = (1 << 62) - 1
#: The maximum length of a member's name, in characters.
MAX_NAME_LENGTH = 128


class FrameError(CypressbeamError, ValueError):
    """Malformed data, or a frame that no correct node sends.

    :param reason: what is wrong with the frame.
    :param message: the name of the message class, if known.
    """

    def __init__(self, reason: str, message: str = "") -> None:
        super().__init__(f"{message}: {reason}" if message else reason)
        self.reason = reason


def require(condition: bool, frame: object, reason: str) -> None:
    """Raises FrameError with the message class and the reason unless the condition is true."""
    if not condition:
        raise FrameError(reason, type(frame).__name__)


def check_epochs(frame: object, *epochs: int) -> None:
    """Checks that no epoch is above the maximum."""
    for epoch in epochs:
        require(epoch <= MAX_EPOCH, frame, f"epoch {epoch} is out of range")


def check_member(frame: object, name: str) -> None:
    """Checks that a member's name consists of an address and the identity of its disk."""
    ip, slash, identity = name.partition("/")
    well_formed = bool(ip and slash and identity) and not set(name) & {",", " ", "\n"}
    require(
        well_formed and name.count("/") == 1 and len(name) <= MAX_NAME_LENGTH,
        frame,
        f"{name[:MAX_NAME_LENGTH]!r} is not a valid member name",
    )


def check_view(frame: object, epoch: int, chain: tuple[str, ...], group: tuple[str, ...]) -> None:
    """Checks that the group has no duplicate address, and that the chain is a non-empty subset without duplicates."""
    check_epochs(frame, epoch)
    require(len(group) <= MAX_GROUP_SIZE, frame, f"{len(group)} members are too many")
    for name in group:
        check_member(frame, name)
    addresses = {name.partition("/")[0] for name in group}
    require(len(addresses) == len(group), frame, "the group has a duplicate address")
    require(
        0 < len(chain) == len(set(chain)) and set(chain) <= set(group),
        frame,
        "the chain is not a non-empty subset of the group",
    )


def check_number(frame: object, number: int, body: bytes) -> None:
    """Checks that an entry has a body or its digest, and that there is none without an entry."""
    require(
        number <= MAX_ENTRY_NUMBER and bool(number) == bool(body),
        frame,
        f"entry {number} is out of range, or does not match its digest",
    )
