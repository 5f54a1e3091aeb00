"""Evacuations of failure domains, as the leader decides on them.

An evacuation is durable once its command is committed. It is confirmed once no
entry VM can still send to the failure domain after the time that its bound
allows. The keys of the domain's upstreams are released as each of them checks
in, so that they move with a hand-over.
"""

from collections.abc import Iterator
from typing import Final

from ibisjunction.coordination.calls import (
    EndEvacuation,
    EvacuationOrder,
    Invalid,
    StartEvacuation,
)
from ibisjunction.coordination.planned import PlannedCommand
from ibisjunction.coordination.spread import CommittedChange
from ibisjunction.coordination.timing import FleetTiming
from ibisjunction.fleet.evacuations import EvacuateDomain, RestoreDomain
from ibisjunction.fleet.model import FleetState, Upstream

#: Part of the bound of an evacuation that is kept for requests which were sent
#: just before it is in force and are still on their way.
_ARRIVAL_PART: Final = 0.1
#: Check-ins that an upstream may miss before its keys are released without
#: one. A release without a check-in reaches the upstream later, and its keys
#: wait for longer.
_MAX_RELEASE_INTERVALS: Final = 1.5


class Evacuations:
    """Decides on orders to evacuate failure domains during one term."""

    def __init__(
        self,
        timing: FleetTiming,
        failure_domains: frozenset[str],
        inherited: CommittedChange,
        state: FleetState,
    ) -> None:
        """Start a term.

        :param failure_domains: those of the deployment, by its settings.
        :param inherited: the latest change of earlier terms, which entry VMs
            may not have applied.
        """
        self._timing = timing
        self._failure_domains = failure_domains
        self._inherited = inherited
        self._changes = dict.fromkeys(state.evacuated, inherited)

    @property
    def force_ms(self) -> int:
        """Time after its confirmation in which an evacuation is in force."""
        return round(self._timing.evacuation_ms * (1 - _ARRIVAL_PART))

    def find_error(
        self, state: FleetState, order: EvacuationOrder
    ) -> Invalid | None:
        """Return the answer to an order for an unknown failure domain."""
        domain = order.failure_domain
        is_known = domain in self._failure_domains or any(
            upstream.failure_domain == domain
            for upstream in state.upstreams.values()
        )
        # What was accepted is accepted again, also after the last upstream of
        # a domain that the settings do not name has left.
        if is_known or domain in state.evacuated:
            return None
        return Invalid(f'failure domain {domain!r} does not exist')

    def plan(self, order: EvacuationOrder, call_id: str) -> PlannedCommand:
        """Return the command of an order.

        It is proposed even if the state would not change: an opposite order
        may be on its way through the log.
        """
        why = 'ordered by an operator'
        match order:
            case StartEvacuation(failure_domain=domain):
                return PlannedCommand(EvacuateDomain(domain, call_id), why)
            case EndEvacuation(failure_domain=domain):
                return PlannedCommand(RestoreDomain(domain, call_id), why)

    def record_state_change(
        self, earlier: FleetState, state: FleetState, index: int, now: int
    ) -> None:
        """Record when evacuations were committed."""
        for domain in state.evacuated:
            if domain not in earlier.evacuated:
                self._changes[domain] = CommittedChange(index, now)
        for domain in earlier.evacuated:
            if domain not in state.evacuated:
                self._changes.pop(domain, None)

    def find_required_change(
        self, order: EvacuationOrder
    ) -> CommittedChange | None:
        """Return the change that must be in force before the answer.

        The end of an evacuation is confirmed at its commit.
        """
        match order:
            case StartEvacuation(failure_domain=domain):
                return self._changes.get(domain, self._inherited)
            case EndEvacuation():
                return None

    def list_overdue(self, state: FleetState, now: int) -> Iterator[Upstream]:
        """Yield the upstreams whose keys are released without a check-in."""
        if not state.evacuated:
            return
        wait_ms = self._timing.check_in_ms * _MAX_RELEASE_INTERVALS
        for upstream in state.upstreams.values():
            change = self._changes.get(upstream.failure_domain)
            if change is not None and now >= change.committed_ms + wait_ms:
                yield upstream
