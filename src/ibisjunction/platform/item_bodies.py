"""JSON objects in the bodies that set, remove and list items.

All times are in seconds.
"""

from typing import Any, Final

from ibisjunction.platform.bodies import (
    Body,
    Integer,
    Name,
    Natural,
    Rate,
    Seconds,
)

#: Timeout and target latency of a route that sets none.
_DEFAULT_TIMEOUT_S: Final = 60.0


class TableBody(Body, frozen=True):
    """A table of items: names of fields, and a row of values for each item."""

    columns: tuple[str, ...]
    rows: tuple[list[Any], ...]


class UpsertBody(Body, frozen=True):
    """Items to set, each with all its fields."""

    routes: TableBody | None = None
    services: TableBody | None = None
    limits: dict[str, Any] | None = None


class ItemVersionBody(Body, frozen=True):
    """The name of an item and the version of its change."""

    name: str
    version: str


class RemoveBody(Body, frozen=True):
    """Items to remove."""

    routes: tuple[ItemVersionBody, ...] = ()
    services: tuple[ItemVersionBody, ...] = ()


class UpdateBody(Body, frozen=True):
    """One change by an operator."""

    upsert: UpsertBody = UpsertBody()
    remove: RemoveBody = RemoveBody()


class TargetBody(Body, frozen=True):
    """A service that gets a share of a route's requests."""

    service: Name
    weight: Integer


class RouteBody(Body, frozen=True):
    """A route.

    ``type`` decides how requests may be repeated; ``priority`` is the rank.
    """

    host: str
    path_prefix: str
    type: str
    priority: Integer
    max_attempts: Integer
    timeout_s: Seconds = _DEFAULT_TIMEOUT_S
    target_latency_s: Seconds = _DEFAULT_TIMEOUT_S
    service: str = ''
    traffic_split: tuple[TargetBody, ...] = ()


class ServiceBody(Body, frozen=True):
    """A service; ``sharded`` if each key has one owner."""

    health_check_path: str = ''
    max_connections: Integer = 0
    sharded: bool = False
    warmup_s: Seconds = 0
    cold_start_s: Seconds = 0
    cold_per_s: Rate = 0


class LimitsBody(Body, frozen=True):
    """Bounds on the size of requests and on the time that callers may take."""

    max_header_bytes: Natural
    max_body_bytes: Natural
    header_timeout_s: Seconds
    idle_timeout_s: Seconds
