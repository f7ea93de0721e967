"""Checks of values that messages share: epochs, members, views and entries. Each raises FrameError.

They refuse what no correct node sends, before any rule of the consensus counts on it.
"""

from __future__ import annotations

from cypressbeam.errors import CypressbeamError

#: Epochs as there can be any: none yet (0), or a proposer's place in the last eight bits below a count from one on.
MIN_EPOCH, MAX_EPOCH = 1 << 8, 1 << 48
#: Members that a group may have by its messages. The rules allow fewer (membership.py).
MAX_GROUP_SIZE = 64
#: The highest number of an entry: numbers on disk are signed.
MAX_ENTRY_NUMBER = (1 << 62) - 1
#: Characters of a member's name.
MAX_NAME_LENGTH = 128


class FrameError(CypressbeamError, ValueError):
    """Bytes that are no frame, or a frame that no correct node sends.

    :param reason: what is wrong with it.
    :param message: the name of the message's class, where it is known.
    """

    def __init__(self, reason: str, message: str = "") -> None:
        super().__init__(f"{message}: {reason}" if message else reason)
        self.reason = reason


def require(holds: bool, frame: object, what: str) -> None:
    """Raises FrameError, with the message's class and `what`, unless the condition holds."""
    if not holds:
        raise FrameError(what, type(frame).__name__)


def check_epochs(frame: object, *epochs: int) -> None:
    """No epoch is above the highest that can be."""
    for epoch in epochs:
        require(epoch <= MAX_EPOCH, frame, f"epoch {epoch} cannot be")


def check_member(frame: object, name: str) -> None:
    """A member is named by its address and the identity of its disk."""
    ip, slash, identity = name.partition("/")
    plain = bool(ip and slash and identity) and not set(name) & {",", " ", "\n"}
    require(
        plain and name.count("/") == 1 and len(name) <= MAX_NAME_LENGTH,
        frame,
        f"{name[:MAX_NAME_LENGTH]!r} is no member",
    )


def check_view(frame: object, epoch: int, chain: tuple[str, ...], group: tuple[str, ...]) -> None:
    """A chain of a group: no address twice, none in the chain that is not in the group, and somebody in it."""
    check_epochs(frame, epoch)
    require(len(group) <= MAX_GROUP_SIZE, frame, f"{len(group)} members")
    for name in group:
        check_member(frame, name)
    addresses = {name.partition("/")[0] for name in group}
    require(len(addresses) == len(group), frame, "an address is twice in the group")
    require(0 < len(chain) == len(set(chain)) and set(chain) <= set(group), frame, "the chain is no part of the group")


def check_number(frame: object, number: int, body: bytes) -> None:
    """An entry that there is has a body, and its digest."""
    require(
        number <= MAX_ENTRY_NUMBER and bool(number) == bool(body), frame, f"entry {number} and its digest do not match"
    )
