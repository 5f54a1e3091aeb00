"""Requests for tickets."""

from dataclasses import dataclass

from ibisjunction.fleet.model import ProcessKey

#: The VM of a request, and the number of its ticket request there.
RequestId = tuple[str, int]


@dataclass(frozen=True, slots=True)
class TicketRequest:
    """A request for permission to send; times are on this VM's clock.

    ``key`` is set if only the owner of the key may serve the request.
    ``give_up_ms`` is when it times out. ``avoided`` are the processes of
    upstreams that did not accept an earlier attempt of the request, or gave no
    usable answer to it. ``is_bulky`` is set if its answer is expected to be
    large. ``fingerprint`` is the same for all attempts of a caller at the same
    request; 0 is none. Its dispatcher sets ``is_expected`` if the caller has
    come back at the time at which it has a place, and ``due_ms`` to that time
    if it came too early.
    """

    number: int
    vm: str
    service: str
    key: int | None
    rank: int
    failure_domain: str
    requested_ms: int
    target_ms: int
    give_up_ms: int
    avoided: frozenset[ProcessKey] = frozenset()
    is_bulky: bool = False
    fingerprint: int = 0
    is_expected: bool = False
    due_ms: int = 0

    @property
    def request_id(self) -> RequestId:
        """What tells the request from all others of the VMs."""
        return (self.vm, self.number)
