"""A request of a caller and the dependencies of its task."""

import random
from dataclasses import dataclass, field
from typing import Any, Protocol

from ibisjunction.clock import Clock
from ibisjunction.mailbox import Mailbox
from ibisjunction.outcomes import Refused
from ibisjunction.routing.body import CopiedBody
from ibisjunction.services.catalogue import RequestHead, RouteMatch
from ibisjunction.upstreams.cancellation import CancelAtUpstream
from ibisjunction.upstreams.messages import AnswerHead, HeaderList
from ibisjunction.upstreams.pool import ConnectionPool


class Caller(Protocol):
    """The connection on which a caller receives its answer."""

    async def send_head(self, head: AnswerHead, request_id: str) -> None:
        """Send status and headers."""

    async def send_chunk(self, chunk: bytes) -> None:
        """Send a part of the body; wait while the caller is slow to read."""

    def finish(self) -> None:
        """End the answer."""

    def abort(self) -> None:
        """Close the connection, which shows that the answer is incomplete."""


@dataclass(slots=True)
class CallerRequest:
    """A request received from a caller, and the state of its answer.

    ``has_body`` is set if body parts follow in ``body``. ``is_answer_started``
    is set once the caller may have received a byte of an answer; no other
    answer can be sent then. ``is_sending_chunk`` is set while a part of the
    answer is written to the caller. ``route`` and ``upstream`` are set once
    they are determined. ``head_refusal`` is set if the head is not valid.
    """

    request_id: str
    head: RequestHead
    headers: HeaderList
    has_body: bool
    body: CopiedBody
    caller: Caller
    is_answer_started: bool = False
    is_sending_chunk: bool = False
    route: RouteMatch | None = None
    upstream: str = ''
    head_refusal: Refused | None = None


@dataclass(frozen=True, slots=True)
class RequestContext:
    """Dependencies that the tasks of all requests share."""

    clock: Clock
    routing: Mailbox[Any]
    pool: ConnectionPool
    rng: random.Random
    ledger: Mailbox[Any]
    cancellations: Mailbox[CancelAtUpstream] = field(default_factory=Mailbox)
    metrics: Mailbox[Any] = field(default_factory=Mailbox)
