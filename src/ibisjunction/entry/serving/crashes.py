"""Finds requests that crash the upstreams that run them.

A request counts as lost if its connection was closed before the answer. Its
upstream has crashed if it then refuses connections; otherwise only the
connection was lost. Requests are told by a hash of what they ask for, as they
come again with other ids.
"""

import math
from collections import OrderedDict
from dataclasses import dataclass
from typing import Final

import xxhash

from ibisjunction.coordination.crashes import CrashReport
from ibisjunction.entry.model import CallerRequest
from ibisjunction.fleet.model import ProcessKey, Upstream

#: Requests whose last run ended with an answer are remembered, the latest of
#: them; each takes about 150 bytes.
_MAX_ANSWERED: Final = 4096
#: Crashes that are reported at the same time; more are dropped.
_MAX_PENDING: Final = 256
#: Number of times that a crash is reported, because the leader may change.
_REPORT_SENDS: Final = 3


@dataclass(frozen=True, slots=True)
class LostRun:
    """A run of a request whose connection was closed before the answer."""

    fingerprint: int
    upstream: Upstream
    sent_ms: int
    lost_ms: int


@dataclass(slots=True)
class _Pending:
    """A crash that is reported; ``sends_left`` counts down."""

    lost: LostRun
    sends_left: int = _REPORT_SENDS


def make_fingerprint(request: CallerRequest) -> int:
    """Return a number that equal requests share, whatever their ids are."""
    digest = xxhash.xxh3_64()
    for part in (request.method, request.host, request.target):
        digest.update(part.encode())
        digest.update(b'\0')
    digest.update(request.body)
    return digest.intdigest()


class CrashSuspects:
    """What one entry VM knows of requests and the crashes of upstreams.

    A request that has run to an answer since its last crash is no suspect: it
    happened to run when upstreams crashed for another reason.
    """

    def __init__(self) -> None:
        """Start without crashes."""
        # Until when a run must have been sent to be excused from a crash.
        self._excused_ms: OrderedDict[int, float] = OrderedDict()
        self._answered_ms: dict[ProcessKey, int] = {}
        self._pending: list[_Pending] = []

    def record_run(self, fingerprint: int) -> None:
        """Record that a run of a request has ended with an answer."""
        self._excused_ms[fingerprint] = math.inf
        self._excused_ms.move_to_end(fingerprint)
        if len(self._excused_ms) > _MAX_ANSWERED:
            self._excused_ms.popitem(last=False)

    def record_answer(self, upstream: Upstream, now: int) -> None:
        """Record that an upstream has answered, so it has not crashed."""
        self._answered_ms[upstream.process_key] = now

    def may_have_crashed(self, lost: LostRun) -> bool:
        """Return whether the upstream of a lost run has answered none since."""
        answered_ms = self._answered_ms.get(lost.upstream.process_key, 0)
        return answered_ms <= lost.lost_ms

    def record_crash(self, lost: LostRun) -> None:
        """Record that the upstream of a lost run has crashed.

        The crash is not reported if the request was answered since the one
        before, nor for its other runs that were sent before this crash.
        """
        excused_ms = self._excused_ms.get(lost.fingerprint, -math.inf)
        if lost.sent_ms <= excused_ms:
            self._excused_ms[lost.fingerprint] = min(excused_ms, lost.lost_ms)
        elif len(self._pending) < _MAX_PENDING:
            self._pending.append(_Pending(lost))

    def retain(self, processes: frozenset[ProcessKey]) -> None:
        """Forget the processes that are gone."""
        for process in self._answered_ms.keys() - processes:
            self._answered_ms.pop(process)

    def is_suspect(self, fingerprint: int) -> bool:
        """Return whether no run was answered since the last crash."""
        return self._excused_ms.get(fingerprint) != math.inf

    def take_reports(self, now: int) -> tuple[CrashReport, ...]:
        """Return the crashes to report; each is returned a few times."""
        reports = tuple(
            CrashReport(
                fingerprint=pending.lost.fingerprint,
                upstream=pending.lost.upstream.upstream,
                born=pending.lost.upstream.born,
                sent_ago_ms=now - pending.lost.sent_ms,
                lost_ago_ms=now - pending.lost.lost_ms,
            )
            for pending in self._pending
        )
        for pending in self._pending:
            pending.sends_left -= 1
        self._pending = [
            pending for pending in self._pending if pending.sends_left
        ]
        return reports
