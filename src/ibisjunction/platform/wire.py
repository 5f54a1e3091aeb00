"""The platform's bodies, decoded into ibisjunction's types and back."""

import functools
import json
from typing import Any, Final

import msgspec

from ibisjunction.catalogue.model import (
    Item,
    ItemType,
    ItemUpdate,
    Limits,
    RequestKind,
    Route,
    Service,
    Target,
)
from ibisjunction.clock import MS_PER_S
from ibisjunction.coordination.calls import (
    CheckedIn,
    CheckIn,
    FreedRange,
    HeldRange,
)
from ibisjunction.entry.model import HeaderNames

HEADERS: Final = HeaderNames(
    request_id='Attempt-Id',
    deadline='Deadline-Ms',
    shard_key='Shard-Key',
    expected_upstream='Expected-Instance',
    not_run='Not-Executed',
    receipt='Response-Signature',
)
#: Timeout of a route that states none.
_DEFAULT_TIMEOUT_S: Final = 60.0
_LIMITS_NAME: Final = 'Limits'
_VERSION_PREFIX: Final = 'r'


class WireError(Exception):
    """A body can't be read in full; the text names the field."""


class _Model(msgspec.Struct, rename='pascal', frozen=True):
    """A table of a body; unknown fields are ignored."""


class _Info(_Model, frozen=True):
    service: str
    zone: str
    #: Requests that run at a time.
    capacity: int


class _Status(_Model, frozen=True):
    state: str
    sequence_number: int


class _Beat(_Model, frozen=True):
    address: str
    info: _Info
    status: _Status
    #: Rows of first key, last key and fence.
    holds: tuple[tuple[int, int, int], ...] = ()
    #: Rows of first key, last key and hand-over token.
    freed: tuple[tuple[int, int, str], ...] = ()
    #: Unix milliseconds of the process's start; its name is in lower case.
    born: int = msgspec.field(default=0, name='born')


class _Leave(_Model, frozen=True):
    born: int = msgspec.field(default=0, name='born')


class _Columns(_Model, frozen=True):
    columns: tuple[str, ...]
    rows: tuple[list[Any], ...]


class _Upsert(_Model, frozen=True):
    routes: _Columns | None = None
    services: _Columns | None = None
    limits: dict[str, Any] | None = None


class _Removal(_Model, frozen=True):
    name: str
    version: str


class _Remove(_Model, frozen=True):
    routes: tuple[_Removal, ...] = ()
    services: tuple[_Removal, ...] = ()


class _Update(_Model, frozen=True):
    upsert: _Upsert = _Upsert()
    remove: _Remove = _Remove()


class _Target(_Model, frozen=True):
    service: str
    weight: int


class _Route(_Model, frozen=True):
    host: str
    path_prefix: str
    type: str
    priority: int
    max_attempts: int
    timeout_s: float = _DEFAULT_TIMEOUT_S
    target_latency_s: float = _DEFAULT_TIMEOUT_S
    service: str = ''
    traffic_split: tuple[_Target, ...] = ()


class _Service(_Model, frozen=True):
    health_check_path: str = ''
    max_connections: int = 0
    sharded: bool = False
    warmup_s: float = 0


class _Limits(_Model, frozen=True):
    max_header_bytes: int
    max_body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


def decode_check_in(upstream: str, body: bytes) -> CheckIn:
    """Return an upstream's check-in.

    :raises WireError: if a field is missing or wrong.
    """
    beat = _decode(body, _Beat)
    if beat.status.state not in {'ready', 'draining'}:
        raise WireError(f'State {beat.status.state!r} is not known')
    return CheckIn(
        upstream=upstream,
        born=beat.born,
        service=beat.info.service,
        address=beat.address,
        failure_domain=beat.info.zone,
        slots=beat.info.capacity,
        is_draining=beat.status.state == 'draining',
        sequence=beat.status.sequence_number,
        holds=tuple(HeldRange(*row) for row in beat.holds),
        freed=tuple(FreedRange(*row) for row in beat.freed),
    )


def decode_birth(body: bytes) -> int:
    """Return the start of the process that leaves, 0 if it says none.

    :raises WireError: if the body can't be read.
    """
    return _decode(body, _Leave).born if body.strip() else 0


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


def decode_update(body: bytes) -> ItemUpdate:
    """Return the items that an operator sets and removes.

    :raises WireError: if any part can't be read.
    """
    update = _decode(body, _Update)
    items = [
        *_decode_rows(update.upsert.routes, ItemType.ROUTE),
        *_decode_rows(update.upsert.services, ItemType.SERVICE),
        *_decode_removals(update.remove.routes, ItemType.ROUTE),
        *_decode_removals(update.remove.services, ItemType.SERVICE),
    ]
    if update.upsert.limits is not None:
        document = update.upsert.limits
        named = {'Name': _LIMITS_NAME, **document}
        items.append(_decode_item(named, document, ItemType.LIMITS))
    return ItemUpdate(tuple(items))


def encode_items(items: tuple[Item, ...]) -> bytes:
    """Return the body with all items, as the operators wrote them."""
    tables: dict[str, Any] = {}
    for name, item_type in (
        ('Routes', ItemType.ROUTE),
        ('Services', ItemType.SERVICE),
    ):
        documents = [
            json.loads(item.document)
            for item in items
            if item.type is item_type
        ]
        columns = list(
            dict.fromkeys(key for found in documents for key in found),
        )
        rows = [
            [document.get(key) for key in columns] for document in documents
        ]
        tables[name] = {'Columns': columns, 'Rows': rows}
    for item in items:
        if item.type is ItemType.LIMITS:
            tables['Limits'] = json.loads(item.document)
    return msgspec.json.encode(tables)


def _decode_rows(table: _Columns | None, item_type: ItemType) -> list[Item]:
    if table is None:
        return []
    items = []
    for row in table.rows:
        if len(row) != len(table.columns):
            raise WireError(f'a row has {len(row)} of {len(table.columns)}')
        document = {
            column: text
            for column, text in zip(table.columns, row, strict=True)
            if text is not None
        }
        items.append(_decode_item(document, document, item_type))
    return items


def _decode_item(
    fields: dict[str, Any],
    document: dict[str, Any],
    item_type: ItemType,
) -> Item:
    head = _convert(fields, _Removal)
    make_item = functools.partial(
        Item,
        item_type,
        head.name,
        _decode_version(head.version),
        json.dumps(document),
    )
    match item_type:
        case ItemType.ROUTE:
            return make_item(route=_make_route(_convert(fields, _Route)))
        case ItemType.SERVICE:
            return make_item(service=_make_service(_convert(fields, _Service)))
        case ItemType.LIMITS:
            return make_item(limits=_make_limits(_convert(fields, _Limits)))


def _make_service(found: _Service) -> Service:
    return Service(
        found.health_check_path,
        found.max_connections,
        found.sharded,
        _to_ms(found.warmup_s),
    )


def _make_limits(found: _Limits) -> Limits:
    return Limits(
        found.max_header_bytes,
        found.max_body_bytes,
        _to_ms(found.header_timeout_s),
        _to_ms(found.idle_timeout_s),
    )


def _make_route(found: _Route) -> Route:
    try:
        kind = RequestKind(found.type)
    except ValueError as error:
        raise WireError(f'Type {found.type!r} is not known') from error
    targets = tuple(
        Target(part.service, part.weight) for part in found.traffic_split
    )
    return Route(
        host=found.host,
        prefix=found.path_prefix,
        kind=kind,
        timeout_ms=_to_ms(found.timeout_s),
        target_ms=_to_ms(found.target_latency_s),
        rank=found.priority,
        max_attempts=found.max_attempts,
        targets=targets or (Target(found.service, 1),),
    )


def _decode_removals(
    removals: tuple[_Removal, ...],
    item_type: ItemType,
) -> list[Item]:
    return [
        Item(item_type, removal.name, _decode_version(removal.version))
        for removal in removals
    ]


def _decode_version(text: str) -> int:
    number = text.removeprefix(_VERSION_PREFIX)
    if number == text or not number.isdecimal():
        raise WireError(f'Version {text!r} is not {_VERSION_PREFIX}NUMBER')
    return int(number)


def _decode(body: bytes, model: type[Any]) -> Any:
    try:
        return msgspec.json.decode(body, type=model)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise WireError(str(error)) from error


def _convert(fields: dict[str, Any], model: type[Any]) -> Any:
    try:
        return msgspec.convert(fields, type=model)
    except msgspec.ValidationError as error:
        raise WireError(str(error)) from error


def _to_ms(seconds: float) -> int:
    return round(seconds * MS_PER_S)
