"""Bodies of operators' changes and of what they read back."""

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
from ibisjunction.platform.bodies import (
    WireError,
    convert_fields,
    convert_seconds,
    decode_body,
)
from ibisjunction.platform.item_bodies import (
    ColumnsBody,
    LimitsBody,
    RemovalBody,
    RouteBody,
    ServiceBody,
    UpdateBody,
)

_LIMITS_NAME: Final = 'Limits'
_VERSION_PREFIX: Final = 'r'


def decode_update(body: bytes) -> ItemUpdate:
    """Return the items that an operator sets and removes.

    :raises WireError: if any part can't be read.
    """
    update = decode_body(body, UpdateBody)
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


def _decode_rows(table: ColumnsBody | None, item_type: ItemType) -> list[Item]:
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
    head = convert_fields(fields, RemovalBody)
    make_item = functools.partial(
        Item,
        item_type,
        head.name,
        _decode_version(head.version),
        json.dumps(document),
    )
    match item_type:
        case ItemType.ROUTE:
            return make_item(
                route=_make_route(convert_fields(fields, RouteBody))
            )
        case ItemType.SERVICE:
            return make_item(
                service=_make_service(convert_fields(fields, ServiceBody))
            )
        case ItemType.LIMITS:
            return make_item(
                limits=_make_limits(convert_fields(fields, LimitsBody))
            )


def _make_service(found: ServiceBody) -> Service:
    return Service(
        found.health_check_path,
        found.max_connections,
        found.sharded,
        convert_seconds(found.warmup_s),
    )


def _make_limits(found: LimitsBody) -> Limits:
    return Limits(
        found.max_header_bytes,
        found.max_body_bytes,
        convert_seconds(found.header_timeout_s),
        convert_seconds(found.idle_timeout_s),
    )


def _make_route(found: RouteBody) -> Route:
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
        timeout_ms=convert_seconds(found.timeout_s),
        target_ms=convert_seconds(found.target_latency_s),
        rank=found.priority,
        max_attempts=found.max_attempts,
        targets=targets or (Target(found.service, 1),),
    )


def _decode_removals(
    removals: tuple[RemovalBody, ...],
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
