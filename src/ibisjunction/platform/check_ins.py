"""Decodes and encodes the bodies of upstreams' check-ins and departures."""

from typing import Annotated, Any, Final

import msgspec

from ibisjunction.clock import MS_PER_S
from ibisjunction.coordination.calls import (
    CheckedIn,
    CheckIn,
    FreedRange,
    HeldRange,
)
from ibisjunction.fleet.model import LAST_KEY
from ibisjunction.platform.bodies import (
    Body,
    InvalidBodyError,
    Name,
    Natural,
    decode_body,
    seconds_to_ms,
)
from ibisjunction.settings.loader import is_address

#: More requests at the same time than any upstream runs.
_MAX_SLOTS: Final = 1_000_000
#: Longer than any upstream stays cold after its start.
_MAX_COLD_S: Final = 3600

_Slots = Annotated[int, msgspec.Meta(ge=1, le=_MAX_SLOTS)]
_ColdSeconds = Annotated[float, msgspec.Meta(ge=0, le=_MAX_COLD_S)]
_Key = Annotated[int, msgspec.Meta(ge=0, le=LAST_KEY)]


class _Capability(Body, frozen=True):
    service: Name
    zone: Name
    #: Number of requests that the upstream runs at the same time.
    capacity: _Slots


class _Status(Body, frozen=True):
    state: Name
    sequence_number: Natural
    #: Seconds for which the upstream stays cold. A value that is no number of
    #: seconds is not used, and the rest of the check-in is.
    cold_remaining_s: Any = None


class _CheckInBody(Body, frozen=True):
    address: Name
    capability: _Capability = msgspec.field(name='Info')
    status: _Status
    #: Key ranges that the upstream holds: first key, last key and fence.
    holds: tuple[tuple[_Key, _Key, Natural], ...] = ()
    #: Key ranges that it gave up: first key, last key and hand-over token.
    freed: tuple[tuple[_Key, _Key, Name], ...] = ()
    #: Start of the process in Unix milliseconds. Unlike all other fields, it
    #: has a lower-case name in the body.
    born: Natural = msgspec.field(default=0, name='born')


class _DepartureBody(Body, frozen=True):
    born: Natural = msgspec.field(default=0, name='born')


def decode_check_in(upstream: str, body: bytes) -> CheckIn:
    """Decode an upstream's check-in.

    :raises InvalidBodyError: if a field is missing or wrong.
    """
    check_in = decode_body(body, _CheckInBody)
    if check_in.status.state not in {'ready', 'draining'}:
        raise InvalidBodyError(f'State {check_in.status.state!r} is not known')
    if not is_address(check_in.address):
        raise InvalidBodyError(f'Address {check_in.address!r} is not IP:PORT')
    return CheckIn(
        upstream=upstream,
        born=check_in.born,
        service=check_in.capability.service,
        address=check_in.address,
        failure_domain=check_in.capability.zone,
        slots=check_in.capability.capacity,
        is_draining=check_in.status.state == 'draining',
        sequence=check_in.status.sequence_number,
        holds=tuple(HeldRange(*row) for row in check_in.holds),
        freed=tuple(FreedRange(*row) for row in check_in.freed),
        cold_remaining_ms=_parse_cold_remaining(
            check_in.status.cold_remaining_s
        ),
    )


def _parse_cold_remaining(told: Any) -> int | None:
    """Return the milliseconds that an upstream stays cold.

    :return: ``None`` without a usable number.
    """
    try:
        seconds = msgspec.convert(told, _ColdSeconds)
    except msgspec.ValidationError:
        return None
    return seconds_to_ms(seconds)


def decode_departure(body: bytes) -> int:
    """Return the start time of the departing process, 0 if none is given.

    :raises InvalidBodyError: if the body is not valid.
    """
    return decode_body(body, _DepartureBody).born if body.strip() else 0


def encode_checked_in(answer: CheckedIn, endpoint: str) -> bytes:
    """Return the body of the answer to a confirmed check-in.

    Without a renewal it has no ``Holds``: with an empty ``Holds``, the upstream
    would release all its keys.

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
