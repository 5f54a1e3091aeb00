"""What all connections of callers on one entry VM share."""

from dataclasses import dataclass, field
from typing import Any, Protocol

from ibisjunction.bodies.answers import TAKE_TIMEOUT_MS, AnswerCount
from ibisjunction.bodies.connections import ConnectionTable
from ibisjunction.bodies.gate import BodyGate
from ibisjunction.catalogue.model import Limits
from ibisjunction.clock import Clock
from ibisjunction.entry.callers.caller_stream import (
    CallerStream,
    CallerTraffic,
)
from ibisjunction.entry.callers.idle_connections import IdleConnections
from ibisjunction.entry.link.transfers import Link
from ibisjunction.entry.model import (
    CallerRequest,
    HeaderNames,
    Outcome,
    Refused,
    RoutedRequest,
)
from ibisjunction.entry.serving.trail import Trail
from ibisjunction.loop_lag import LagMeter
from ibisjunction.mailbox import Mailbox


class RequestServer(Protocol):
    """Routes and serves requests."""

    def find_timeout_ms(self, host: str, target: str) -> int | None:
        """Return the timeout of the route of a request, if there is one."""

    def route(self, request: CallerRequest) -> RoutedRequest | Refused:
        """Choose the service for a request, or refuse it."""

    async def serve(self, routed: RoutedRequest, trail: Trail) -> Outcome:
        """Serve a request; return its final outcome."""


@dataclass(slots=True)
class ConnectionContext:
    """What all connections of one VM share.

    ``read_ahead_bytes`` counts the requests and answers on connections with
    more than one request, which are at most about ``max_read_ahead_bytes``.
    ``unsent`` counts what is left of the large answers that are being written,
    by stream. ``cut_off_ms`` is when a VM that shuts down closes all
    connections.
    """

    processor: RequestServer
    clock: Clock
    names: HeaderNames
    limits: Limits
    link: Link
    metrics: Mailbox[Any]
    max_read_ahead_bytes: int
    gate: BodyGate
    answers: AnswerCount
    table: ConnectionTable
    lag: LagMeter
    traffic: CallerTraffic = field(default_factory=CallerTraffic)
    idle: IdleConnections = field(default_factory=IdleConnections)
    is_draining: bool = False
    read_ahead_bytes: int = 0
    unsent: dict[CallerStream, int] = field(default_factory=dict)
    cut_off_ms: int | None = None

    def count_unsent(self) -> int:
        """Return the bytes of large answers that the link still has to pass.

        Those that nobody takes don't delay others.
        """
        return sum(
            left
            for stream, left in self.unsent.items()
            if stream.blocked_ms < TAKE_TIMEOUT_MS
        )

    @property
    def has_room(self) -> bool:
        """Whether connections may read requests ahead of others."""
        return self.read_ahead_bytes < self.max_read_ahead_bytes
