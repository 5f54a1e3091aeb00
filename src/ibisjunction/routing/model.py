"""A request as its task sees it."""

import random
from dataclasses import dataclass, field
from typing import Any, Protocol

from ibisjunction.clock import Clock
from ibisjunction.mailbox import Mailbox
from ibisjunction.outcomes import Refused
from ibisjunction.routing.body import CopiedBody
from ibisjunction.services.catalog import RequestHead, RouteMatch
from ibisjunction.upstreams.cancellation import CancelAtUpstream
from ibisjunction.upstreams.messages import AnswerHead, HeaderList
from ibisjunction.upstreams.pool import ConnectionPool


class Caller(Protocol):
    """The caller's end of a request."""

    async def send_head(self, head: AnswerHead, request_id: str) -> None:
        """Send status and headers."""

    async def send_chunk(self, chunk: bytes) -> None:
        """Send a part of the body, waiting while the caller is slow."""

    def finish(self) -> None:
        """End the answer."""

    def abort(self) -> None:
        """Close the connection, so that a partial answer is not taken whole."""


@dataclass(slots=True)
class CallerRequest:
    """A request as it arrived.

    ``has_body`` says whether body parts follow in ``body``.
    ``is_answer_started`` is set once the caller may have received a byte of an
    answer; nothing else can be sent to it then. ``is_caller_busy`` is set while
    the caller has to take a part of the answer. ``route`` and ``upstream`` are
    set once they are known. ``fault`` refuses a request whose head is not
    valid.
    """

    request_id: str
    head: RequestHead
    headers: HeaderList
    has_body: bool
    body: CopiedBody
    caller: Caller
    is_answer_started: bool = False
    is_caller_busy: bool = False
    route: RouteMatch | None = None
    upstream: str = ''
    fault: Refused | None = None


@dataclass(frozen=True, slots=True)
class RequestContext:
    """What the tasks of all requests share."""

    clock: Clock
    routing: Mailbox[Any]
    pool: ConnectionPool
    random: random.Random
    ledger: Mailbox[Any]
    cancellations: Mailbox[CancelAtUpstream] = field(default_factory=Mailbox)
    metrics: Mailbox[Any] = field(default_factory=Mailbox)
