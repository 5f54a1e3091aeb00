"""Keeps the rate of requests that an upstream says it takes."""

import re
from dataclasses import dataclass
from typing import Final

from ibisjunction.clock import MS_PER_S

#: Part of the limit that is used. Requests that were granted before a change of
#: dispatcher arrive beside those of the next one.
_USED_FRACTION: Final = 0.95
#: Time whose requests may be sent at once after a pause.
_BURST_S: Final = 0.5
#: A dispatcher with a part of the limit that was last asked longer ago than
#: this has not been in use since then. What each VM saves while nobody asks it
#: would add up to more than a low limit allows.
_MAX_USE_GAP_MS: Final = 2000
#: Time for which such a dispatcher earns requests when it is asked again.
_FIRST_EARNING_MS: Final = 100
#: Time for which an answer without a limit shows that there is none.
_UNLIMITED_MS: Final = 1000
#: Requests a second to an upstream that names less. One that takes none is
#: asked now and then, as only its answers tell when it takes more.
_MIN_RATE_PER_S: Final = 0.5
#: Share of the limit for the dispatcher that VMs ask if the first one does not
#: answer, and for all others together.
_STAND_IN_SHARE: Final = 0.2
_NUMBER: Final = re.compile(r'\d{1,9}(\.\d{1,9})?')


def parse_limit(text: str | None) -> float | None:
    """Return the requests a second that a header names.

    :return: ``None`` without a header, or if it is no decimal number.
    """
    if text is None or _NUMBER.fullmatch(text.strip()) is None:
        return None
    return float(text)


def find_share(rank: int, vm_count: int) -> float:
    """Return the share of a limit that a dispatcher may use.

    Each VM sees the other VMs a little differently, so several may decide on
    the requests of an upstream at the same time. Their shares add up to less
    than one and a half.

    :param rank: position of the dispatcher among all for a queue.
    """
    match rank:
        case 0:
            return 1
        case 1:
            return _STAND_IN_SHARE
        case _:
            return _STAND_IN_SHARE / max(1, vm_count)


@dataclass(slots=True)
class RequestPacer:
    """Spaces the requests that one dispatcher grants to one upstream.

    ``limit_per_s`` is what the upstream named in the answer that arrived at
    ``named_ms``; without a limit, nothing is spaced. Requests have been counted
    from ``_since_ms`` on, and decided on here from ``_decided_since_ms`` on.
    """

    limit_per_s: float | None = None
    named_ms: int = 0
    share: float = 1
    _since_ms: int = 0
    _decided_since_ms: int | None = None
    _unlimited_until_ms: int = 0
    _tokens: float = 0
    _updated_ms: int = 0

    @property
    def rate_per_ms(self) -> float | None:
        """Requests per millisecond, or ``None`` without a limit."""
        if self.limit_per_s is None:
            return None
        rate_per_s = max(_MIN_RATE_PER_S, self.limit_per_s * _USED_FRACTION)
        return rate_per_s * self.share / MS_PER_S

    def record(
        self, limit_per_s: float | None, granted_ms: int, now: int
    ) -> None:
        """Record what an answer says about the limit.

        An answer without a limit ends it only if its request was granted after
        the limit was named: answers of one upstream overtake one another.
        """
        if limit_per_s is not None:
            self._refill(now)
            if self.limit_per_s is None:
                self._tokens = 0
                self._since_ms = now
            self.limit_per_s = limit_per_s
            self.named_ms = now
        elif granted_ms > self.named_ms:
            self.limit_per_s = None
            since_ms = self._decided_since_ms
            if since_ms is not None and granted_ms >= since_ms:
                self._unlimited_until_ms = now + _UNLIMITED_MS

    def knows_limit(self, now: int) -> bool:
        """Return whether it is known what the upstream takes, if limited."""
        return self.limit_per_s is not None or now < self._unlimited_until_ms

    def use_share(self, share: float, now: int) -> None:
        """Set the part of the limit that this dispatcher may use.

        With another share, and when it first decides, it starts with nothing
        saved: the dispatcher before it may just have sent all that the limit
        allows at once.
        """
        if self._decided_since_ms is None:
            self._decided_since_ms = now
            self._tokens = min(self._tokens, 0)
            self._updated_ms = now
        if share != self.share:
            self._refill(now)
            self.share = share
            self._tokens = min(self._tokens, 0)

    def may_send(self, now: int) -> bool:
        """Return whether the limit allows one more request now."""
        if self.limit_per_s is None:
            return True
        self._refill(now)
        return self._tokens >= 1

    def take(self, now: int) -> None:
        """Count a request that is granted."""
        if self.limit_per_s is not None:
            self._refill(now)
            self._tokens -= 1

    def give_back(self, granted_ms: int) -> None:
        """Restore a granted request that was not sent, if it was counted.

        :param granted_ms: when the request was granted.
        """
        if self.limit_per_s is not None and granted_ms >= self._since_ms:
            self._tokens += 1

    def _refill(self, now: int) -> None:
        rate_per_ms = self.rate_per_ms
        if rate_per_ms is not None:
            burst = max(1, rate_per_ms * _BURST_S * MS_PER_S)
            elapsed_ms = now - self._updated_ms
            if self.share < 1 and elapsed_ms > _MAX_USE_GAP_MS:
                elapsed_ms = _FIRST_EARNING_MS
            refill = elapsed_ms * rate_per_ms
            self._tokens = min(burst, self._tokens + refill)
        self._updated_ms = now
