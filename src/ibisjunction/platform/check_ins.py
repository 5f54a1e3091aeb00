"""Bodies of upstreams' check-ins and departures."""

from typing import Any

import msgspec

from ibisjunction.clock import MS_PER_S
from ibisjunction.coordination.calls import (
    CheckedIn,
    CheckIn,
    FreedRange,
    HeldRange,
)
from ibisjunction.platform.bodies import Body, WireError, decode_body


class _Capability(Body, frozen=True):
    service: str
    zone: str
    #: Requests that run at a time.
    capacity: int


class _Status(Body, frozen=True):
    state: str
    sequence_number: int


class _Beat(Body, frozen=True):
    address: str
    capability: _Capability = msgspec.field(name='Info')
    status: _Status
    #: Rows of first key, last key and fence.
    holds: tuple[tuple[int, int, int], ...] = ()
    #: Rows of first key, last key and hand-over token.
    freed: tuple[tuple[int, int, str], ...] = ()
    #: Unix milliseconds of the process's start; its name is in lower case.
    born: int = msgspec.field(default=0, name='born')


class _Leave(Body, frozen=True):
    born: int = msgspec.field(default=0, name='born')


def decode_check_in(upstream: str, body: bytes) -> CheckIn:
    """Return an upstream's check-in.

    :raises WireError: if a field is missing or wrong.
    """
    beat = decode_body(body, _Beat)
    if beat.status.state not in {'ready', 'draining'}:
        raise WireError(f'State {beat.status.state!r} is not known')
    return CheckIn(
        upstream=upstream,
        born=beat.born,
        service=beat.capability.service,
        address=beat.address,
        failure_domain=beat.capability.zone,
        slots=beat.capability.capacity,
        is_draining=beat.status.state == 'draining',
        sequence=beat.status.sequence_number,
        holds=tuple(HeldRange(*row) for row in beat.holds),
        freed=tuple(FreedRange(*row) for row in beat.freed),
    )


def decode_birth(body: bytes) -> int:
    """Return the start of the process that leaves, 0 if it says none.

    :raises WireError: if the body can't be read.
    """
    return decode_body(body, _Leave).born if body.strip() else 0


def encode_checked_in(answer: CheckedIn, endpoint: str) -> bytes:
    """Return the body of a confirmed check-in.

    :param endpoint: address for the later check-ins.
    """
    fields: dict[str, Any] = {'HeartbeatEndpoint': endpoint}
    if answer.is_renewal:
        fields['HoldS'] = answer.hold_ms / MS_PER_S
        fields['Holds'] = [
            (grant.first, grant.last, grant.fence, grant.handover)
            for grant in answer.grants
        ]
    return msgspec.json.encode(fields)
