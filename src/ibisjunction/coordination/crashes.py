"""Counts the upstreams that crashed while they ran the same request."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from typing import Final

from ibisjunction.fleet.model import ProcessKey

#: A request that has crashed this many processes is refused from then on.
CRASH_LIMIT: Final = 3
#: Of these, this many must have run the request one after the other. Upstreams
#: that crash together take all requests that they run with them.
_MIN_SERIES: Final = 2
#: A blocked request is allowed again after this time, and crashes are forgotten
#: after it.
RETENTION_MS: Final = 600_000
#: Requests whose crashes are counted; the oldest are forgotten first. Each
#: takes about 1 KB.
_MAX_SUSPECTS: Final = 4096


@dataclass(frozen=True, slots=True)
class CrashReport:
    """An entry VM's report that an upstream crashed while it ran a request.

    ``fingerprint`` is shared by equal requests. The request was sent
    ``sent_ago_ms`` before the report, and lost ``lost_ago_ms`` before it.
    """

    fingerprint: int
    upstream: str
    born: int
    sent_ago_ms: int
    lost_ago_ms: int


@dataclass(slots=True)
class _Suspect:
    """The crashes of one request.

    ``series`` counts the crashes of runs that were sent after the one before
    was lost.
    """

    processes: set[ProcessKey] = field(default_factory=set)
    series: int = 0
    lost_ms: int = 0

    @property
    def is_blocked(self) -> bool:
        """Whether the request must not be sent any more."""
        return len(self.processes) >= CRASH_LIMIT and self.series >= _MIN_SERIES


class CrashCounter:
    """The crashes that a leader was told of, by request."""

    def __init__(self, blocked: Iterable[int], now: int) -> None:
        """Start a term.

        :param blocked: the requests that earlier leaders have blocked.
        """
        self._suspects: dict[int, _Suspect] = {}
        self._blocked_since_ms = dict.fromkeys(blocked, now)

    def record(self, report: CrashReport, now: int) -> bool:
        """Record a crash; return whether its request is to be blocked."""
        if report.fingerprint in self._blocked_since_ms:
            return False
        suspect = self._suspects.setdefault(report.fingerprint, _Suspect())
        process = (report.upstream, report.born)
        if process in suspect.processes:
            return False
        suspect.processes.add(process)
        if not suspect.series or now - report.sent_ago_ms >= suspect.lost_ms:
            suspect.series += 1
            suspect.lost_ms = now - report.lost_ago_ms
        if len(self._suspects) > _MAX_SUSPECTS:
            self._suspects.pop(next(iter(self._suspects)))
        if suspect.is_blocked:
            self._suspects.pop(report.fingerprint, None)
            self._blocked_since_ms[report.fingerprint] = now
        return suspect.is_blocked

    def expire(self, now: int) -> Iterator[int]:
        """Forget old crashes; yield the requests to allow again."""
        oldest_ms = now - RETENTION_MS
        for fingerprint, suspect in list(self._suspects.items()):
            if suspect.lost_ms < oldest_ms:
                self._suspects.pop(fingerprint)
        for fingerprint, since_ms in list(self._blocked_since_ms.items()):
            if since_ms < oldest_ms:
                self._blocked_since_ms.pop(fingerprint)
                yield fingerprint
