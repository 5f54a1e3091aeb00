"""Decodes operators' changes of items and encodes the list of items."""

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
    InvalidBodyError,
    convert_fields,
    decode_body,
    seconds_to_ms,
)
from ibisjunction.platform.item_bodies import (
    ItemVersionBody,
    LimitsBody,
    RouteBody,
    ServiceBody,
    TableBody,
    UpdateBody,
)

#: The item of the limits has a fixed name, because there is only one.
_LIMITS_NAME: Final = 'Limits'
_VERSION_PREFIX: Final = 'r'
#: A version with more digits does not fit into 64 bits.
_MAX_VERSION_DIGITS: Final = 18


def decode_update(body: bytes) -> ItemUpdate:
    """Return the items that an operator sets and removes.

    :raises InvalidBodyError: if any part of the body is not valid.
    """
    update = decode_body(body, UpdateBody)
    try:
        return _decode_items(update)
    except RecursionError as error:
        raise InvalidBodyError(str(error)) from error


def _decode_items(update: UpdateBody) -> ItemUpdate:
    items = [
        *_decode_rows(update.upsert.routes, ItemType.ROUTE),
        *_decode_rows(update.upsert.services, ItemType.SERVICE),
        *_decode_removals(update.remove.routes, ItemType.ROUTE),
        *_decode_removals(update.remove.services, ItemType.SERVICE),
    ]
    if update.upsert.limits is not None:
        document = update.upsert.limits
        fields = {'Name': _LIMITS_NAME, **document}
        items.append(_decode_item(fields, document, ItemType.LIMITS))
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
            dict.fromkeys(key for fields in documents for key in fields),
        )
        rows = [
            [document.get(key) for key in columns] for document in documents
        ]
        tables[name] = {'Columns': columns, 'Rows': rows}
    for item in items:
        if item.type is ItemType.LIMITS:
            tables['Limits'] = json.loads(item.document)
    return msgspec.json.encode(tables)


def _decode_rows(table: TableBody | None, item_type: ItemType) -> list[Item]:
    if table is None:
        return []
    items = []
    for row in table.rows:
        if len(row) != len(table.columns):
            raise InvalidBodyError(
                f'a row has {len(row)} of {len(table.columns)}'
            )
        document = {
            column: cell
            for column, cell in zip(table.columns, row, strict=True)
            if cell is not None
        }
        items.append(_decode_item(document, document, item_type))
    return items


def _decode_item(
    fields: dict[str, Any],
    document: dict[str, Any],
    item_type: ItemType,
) -> Item:
    """Return the item with these fields.

    :param fields: fields including the name.
    :param document: fields as the operator wrote them, which are stored.
    """
    item_version = convert_fields(fields, ItemVersionBody)
    make_item = functools.partial(
        Item,
        item_type,
        item_version.name,
        _decode_version(item_version.version),
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


def _make_service(body: ServiceBody) -> Service:
    return Service(
        body.health_check_path,
        body.max_connections,
        body.sharded,
        seconds_to_ms(body.warmup_s),
        body.cold_per_s,
        max(0, seconds_to_ms(body.cold_start_s)),
    )


def _make_limits(body: LimitsBody) -> Limits:
    return Limits(
        body.max_header_bytes,
        body.max_body_bytes,
        seconds_to_ms(body.header_timeout_s),
        seconds_to_ms(body.idle_timeout_s),
    )


def _make_route(body: RouteBody) -> Route:
    try:
        kind = RequestKind(body.type)
    except ValueError as error:
        raise InvalidBodyError(f'Type {body.type!r} is not known') from error
    targets = tuple(
        Target(target.service, target.weight) for target in body.traffic_split
    )
    return Route(
        host=body.host,
        prefix=body.path_prefix,
        kind=kind,
        timeout_ms=seconds_to_ms(body.timeout_s),
        target_ms=seconds_to_ms(body.target_latency_s),
        rank=body.priority,
        max_attempts=body.max_attempts,
        targets=targets or (Target(body.service, 1),),
    )


def _decode_removals(
    removals: tuple[ItemVersionBody, ...],
    item_type: ItemType,
) -> list[Item]:
    return [
        Item(item_type, removal.name, _decode_version(removal.version))
        for removal in removals
    ]


def _decode_version(text: str) -> int:
    number = text.removeprefix(_VERSION_PREFIX)
    is_valid = number.isdecimal() and len(number) <= _MAX_VERSION_DIGITS
    if number == text or not is_valid:
        raise InvalidBodyError(
            f'Version {text!r} is not {_VERSION_PREFIX}NUMBER'
        )
    return int(number)
