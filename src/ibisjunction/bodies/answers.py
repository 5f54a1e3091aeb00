"""Counts the answers that a process holds, and finds those nobody takes.

An answer is held from its first byte until its caller has taken the last one.
If answers fill much of their room, those whose callers take no byte are
dropped. The module does no I/O and reads no clock.
"""

from dataclasses import dataclass, field
from typing import Final

from ibisjunction.byte_budget import ByteBudget

#: A caller that has taken no byte for this time doesn't take its answer. It is
#: longer than it takes to send a lost packet again several times.
TAKE_TIMEOUT_MS: Final = 2000
#: Part of the room above which answers that nobody takes are dropped.
_DROP_SHARE: Final = 0.5


@dataclass(frozen=True, slots=True)
class HeldAnswer:
    """Bytes for one caller, which took the last one ``blocked_ms`` ago."""

    number: int
    size: int
    blocked_ms: int


def find_untaken(budget: ByteBudget, held: list[HeldAnswer]) -> list[int]:
    """Return the numbers of the callers whose answers are dropped.

    The largest go first, until the others need no more than half of the room.
    """
    excess = budget.used - int(budget.limit * _DROP_SHARE)
    untaken = sorted(
        (answer for answer in held if answer.blocked_ms >= TAKE_TIMEOUT_MS),
        key=lambda answer: (-answer.size, answer.number),
    )
    dropped: list[int] = []
    for answer in untaken:
        if excess <= 0:
            break
        excess -= answer.size
        dropped.append(answer.number)
    return dropped


@dataclass(slots=True)
class AnswerCount:
    """The bytes of answers that the connections of callers hold."""

    budget: ByteBudget
    drops: int = 0
    _sizes: dict[int, int] = field(default_factory=dict)

    def record(self, number: int, size: int) -> None:
        """Record the bytes that a connection holds for its caller."""
        change = size - self._sizes.get(number, 0)
        if not change:
            return
        self.budget.take(change)
        if size:
            self._sizes[number] = size
        else:
            self._sizes.pop(number, None)

    def list_numbers(self) -> list[int]:
        """Return the connections that hold answers."""
        return list(self._sizes)

    def size_of(self, number: int) -> int:
        """Return the bytes that a connection holds."""
        return self._sizes.get(number, 0)
