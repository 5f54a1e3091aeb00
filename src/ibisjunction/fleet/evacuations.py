"""Orders to evacuate failure domains, as commands of the replicated log."""

from dataclasses import dataclass, replace
from typing import Final

from ibisjunction.fleet.model import FleetState

#: Orders that are recognised when they are forwarded again. A call is repeated
#: for seconds, and operators have up to eight in progress.
_MAX_APPLIED_ORDERS: Final = 32


@dataclass(frozen=True, slots=True)
class EvacuateDomain:
    """Stops new requests to all upstreams of a failure domain.

    ``order`` identifies the call that caused the command. A call may be
    forwarded again after a later order was applied, and changes nothing then.
    """

    failure_domain: str
    order: str = ''


@dataclass(frozen=True, slots=True)
class RestoreDomain:
    """Ends the evacuation of a failure domain; ``order`` as above."""

    failure_domain: str
    order: str = ''


def change_evacuated(
    state: FleetState, command: EvacuateDomain | RestoreDomain
) -> FleetState:
    """Return the state after an order; one that was applied changes nothing."""
    if command.order and command.order in state.applied_orders:
        return state
    changed = command.failure_domain
    evacuated = tuple(one for one in state.evacuated if one != changed)
    if isinstance(command, EvacuateDomain):
        evacuated = (*evacuated, changed)
    orders = (*state.applied_orders, command.order)[-_MAX_APPLIED_ORDERS:]
    return replace(state, evacuated=evacuated, applied_orders=orders)
