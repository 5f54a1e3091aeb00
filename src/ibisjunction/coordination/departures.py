"""Remembers on the leader which processes have said that they leave.

A check-in may arrive seconds after the departure of its process. The state
marks the processes that it has; those that were never admitted, or whose mark
is not committed yet, are known here only. A new leader knows the marks that are
in the log.
"""

from collections.abc import Iterator
from dataclasses import replace
from typing import Final

from ibisjunction.coordination.admissions import Admissions
from ibisjunction.coordination.calls import Call, CheckIn, Depart
from ibisjunction.coordination.planned import PlannedCommand
from ibisjunction.fleet.commands import MarkDraining
from ibisjunction.fleet.model import FleetState, ProcessKey, Upstream

#: Departures that are remembered; the oldest is dropped if there are more. Each
#: takes about 200 bytes.
MAX_DEPARTED: Final = 10_000
#: A departure is remembered for as long as the state keeps a silent upstream.
_MAX_AGE_MS: Final = 60_000


class Departures:
    """The latest departures of one term, the oldest first."""

    def __init__(self, admissions: Admissions) -> None:
        """Start without departures.

        :param admissions: those of the same term, which departures cover.
        """
        self._admissions = admissions
        self._departed_ms: dict[ProcessKey, int] = {}

    def record(self, state: FleetState, call: Call, now: int) -> set[str]:
        """Record that processes leave if a call says so.

        :return: the admissions that the call has to wait for.
        """
        awaited: set[str] = set()
        for process_key in self._find_leaving(state, call):
            self._remember(process_key, now)
            awaited |= self._admissions.mark_draining(process_key)
        return awaited

    def plan(self, state: FleetState, call: Call) -> Iterator[PlannedCommand]:
        """Yield the marks of processes that leave and may take requests.

        An admission that is proposed already comes before them in the log.
        """
        is_notice = isinstance(call, Depart)
        why = 'it leaves' if is_notice else 'it leaves, by a late check-in'
        for name, born in self._find_leaving(state, call):
            existing = state.upstreams.get(name)
            is_taking = (
                existing is not None
                and existing.born == born
                and not existing.is_draining
            )
            if is_taking or self._admissions.is_taking_requests((name, born)):
                yield PlannedCommand(MarkDraining(name, born), why)

    def mark(self, upstream: Upstream, now: int) -> Upstream:
        """Return the record of a process, as one that leaves if it does."""
        departed_ms = self._departed_ms.get(upstream.process_key)
        if departed_ms is None or now >= departed_ms + _MAX_AGE_MS:
            return upstream
        return replace(upstream, is_draining=True)

    def _find_leaving(self, state: FleetState, call: Call) -> list[ProcessKey]:
        """Return the processes that leave by a call, the earliest first."""
        match call:
            case Depart(upstream=name, born=0):
                known = self._admissions.list_processes(name)
                existing = state.upstreams.get(name)
                if existing is not None:
                    known.add(existing.process_key)
                return sorted(known)
            case Depart(upstream=name, born=born):
                return [(name, born)]
            case CheckIn(upstream=name, born=born, is_draining=True):
                return [(name, born)]
            case _:
                return []

    def _remember(self, process_key: ProcessKey, now: int) -> None:
        self._departed_ms.pop(process_key, None)
        self._departed_ms[process_key] = now
        while self._is_oldest_obsolete(now):
            self._departed_ms.pop(next(iter(self._departed_ms)))

    def _is_oldest_obsolete(self, now: int) -> bool:
        oldest_ms = next(iter(self._departed_ms.values()))
        is_old = now >= oldest_ms + _MAX_AGE_MS
        return is_old or len(self._departed_ms) > MAX_DEPARTED
