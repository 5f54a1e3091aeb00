"""Which requests an entry VM still sends while it shuts down.

A request is sent only if its answer is expected to reach the caller before the
end of the grace period. Others are refused as not run, so that their callers go
to another VM at once. The decision does no I/O and reads no clock.
"""

from dataclasses import dataclass
from typing import Final

from ibisjunction.entry.dispatching.dispatch import Refuse
from ibisjunction.entry.model import Reason

#: Time before the end of a shutdown by which upstreams stop working on
#: requests, so that what they answer is passed on.
_ANSWER_RESERVE_MS: Final = 100
#: Shortest duration that is assumed. An upstream may take longer than it did.
MIN_DURATION_MS: Final = 900
#: Retry time given to callers; another VM serves their request.
_RETRY_AFTER_MS: Final = 50

#: The decision on requests that are not sent any more.
REFUSED_BY_SHUTDOWN: Final = Refuse(Reason.SHUTTING_DOWN, _RETRY_AFTER_MS)


@dataclass(frozen=True, slots=True)
class Need:
    """What a request is expected to take.

    ``duration_ms`` is the time at its upstream, without that of its own bytes
    on the link. ``answer_bytes`` is ``None`` if a large answer of unknown size
    is expected.
    """

    duration_ms: int
    body_bytes: int = 0
    answer_bytes: int | None = 0


@dataclass(frozen=True, slots=True)
class LinkQueues:
    """What waits for the link of the VM, in bytes by direction.

    Bodies and answers of at most ``piece_bytes`` don't wait behind it.
    """

    bytes_per_ms: float
    piece_bytes: int
    sent: int = 0
    received: int = 0

    def find_pass_ms(self, need: Need, answer_bytes: int) -> float:
        """Return the time in which a request and its answer pass the link.

        The answer passes it twice: from the upstream, and to the caller.
        """
        passes = (
            (need.body_bytes, self.sent),
            (answer_bytes, self.received),
            (answer_bytes, self.sent),
        )
        total = sum(
            size + ahead if size > self.piece_bytes else size
            for size, ahead in passes
        )
        return total / self.bytes_per_ms


@dataclass(frozen=True, slots=True)
class Fits:
    """The request is sent."""


@dataclass(frozen=True, slots=True)
class TooLong:
    """The link and the upstream need more time than is left."""

    link_ms: int
    duration_ms: int
    left_ms: int

    def __str__(self) -> str:
        """Return what is needed and left, for the log."""
        longest = 'link' if self.link_ms > self.duration_ms else 'duration'
        return (
            f'{longest}: link {self.link_ms} ms and '
            f'duration {self.duration_ms} ms, of {self.left_ms} ms'
        )


@dataclass(frozen=True, slots=True)
class UnknownSize:
    """No answer was measured that tells how long the link needs."""

    def __str__(self) -> str:
        """Return the reason, for the log."""
        return 'link: large answer of unknown size'


@dataclass(frozen=True, slots=True)
class Shutdown:
    """A planned stop, at whose end the requests in flight are cut off."""

    end_ms: int

    @property
    def answer_by_ms(self) -> int:
        """When upstreams have to stop working on requests."""
        return self.end_ms - _ANSWER_RESERVE_MS

    @property
    def last_send_ms(self) -> int:
        """When the last request is sent that does not time out sooner."""
        return self.answer_by_ms - MIN_DURATION_MS

    def decide(
        self, need: Need, queues: LinkQueues, give_up_ms: int, now: int
    ) -> Fits | TooLong | UnknownSize:
        """Return whether a request fits into what is left of the shutdown.

        :param give_up_ms: when the request times out, shutdown or not.
        """
        if need.answer_bytes is None:
            return UnknownSize()
        left_ms = self.answer_by_ms - now
        # The shutdown does not shorten what ends before it.
        duration_ms = min(need.duration_ms, max(0, give_up_ms - now))
        link_ms = queues.find_pass_ms(need, need.answer_bytes)
        if duration_ms + link_ms <= left_ms:
            return Fits()
        return TooLong(int(link_ms), duration_ms, left_ms)


def refuse(reason: TooLong | UnknownSize) -> Refuse:
    """Return the decision on a request that does not fit."""
    return Refuse(Reason.SHUTTING_DOWN, _RETRY_AFTER_MS, str(reason))
