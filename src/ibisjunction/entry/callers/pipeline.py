"""Decides on the requests of one connection of a caller.

A caller may send requests before its earlier ones are answered. Answers are
written in the order of the requests, whichever is ready first. Requests behind
another run beside it only if all of them are idempotent: a request behind an
answer that closes the connection counts as not read, and the caller sends it
again.

The class does no I/O and reads no clock.
"""

import enum
import itertools
from collections import deque
from dataclasses import dataclass
from typing import Final

from ibisjunction.entry.callers.connection_ends import EndCause

#: Requests of one connection that run at the same time.
MAX_RUNNING: Final = 4
#: Requests that are read before the first of them is answered.
MAX_READ: Final = 32
#: Bytes of requests and of answers that wait for their turn. No further request
#: is read or started above it, so that a connection holds this much and what
#: the running requests add.
MAX_HELD_BYTES: Final = 262_144


@dataclass(frozen=True, slots=True)
class HeadRead:
    """The head of a request was read; its body follows."""

    number: int
    expects_continue: bool = False


@dataclass(frozen=True, slots=True)
class RequestRead:
    """A request was read completely.

    ``may_overlap`` is set if it may run beside others. ``is_last`` is set if
    the caller sends no further request, or none that can be read.
    """

    number: int
    size: int
    may_overlap: bool
    is_last: bool


@dataclass(frozen=True, slots=True)
class OutcomeReady:
    """The answer of a request that was started is known."""

    number: int
    size: int


@dataclass(frozen=True, slots=True)
class AnswerWritten:
    """An answer was written completely."""

    number: int


@dataclass(frozen=True, slots=True)
class ConnectionEnded:
    """The connection has ended, or ends now without further answers."""

    cause: EndCause


@dataclass(frozen=True, slots=True)
class DrainStarted:
    """The VM begins to shut down: the next answer closes the connection."""


@dataclass(frozen=True, slots=True)
class AcceptEnded:
    """The VM takes no further requests while it shuts down."""


@dataclass(frozen=True, slots=True)
class ReadFailed:
    """No further request can be read, nor the rest of one that is read."""


PipelineEvent = (
    HeadRead
    | RequestRead
    | ReadFailed
    | OutcomeReady
    | AnswerWritten
    | ConnectionEnded
    | DrainStarted
    | AcceptEnded
)


@dataclass(frozen=True, slots=True)
class ReadRequest:
    """Read the next request, which gets this number."""

    number: int


@dataclass(frozen=True, slots=True)
class SendContinue:
    """Tell the caller to send the body of its request."""


@dataclass(frozen=True, slots=True)
class StartRequest:
    """Serve a request; ``ahead`` requests before it are not answered yet."""

    number: int
    ahead: int


@dataclass(frozen=True, slots=True)
class WriteAnswer:
    """Write an answer; the connection is closed after it if ``is_last``."""

    number: int
    is_last: bool


@dataclass(frozen=True, slots=True)
class CloseConnection:
    """Close the connection, and stop serving its requests."""

    cause: EndCause


Effect = (
    ReadRequest | SendContinue | StartRequest | WriteAnswer | CloseConnection
)


class _Stage(enum.Enum):
    """How far a request has come."""

    READING = 'reading'
    QUEUED = 'queued'
    RUNNING = 'running'
    READY = 'ready'
    WRITING = 'writing'


@dataclass(slots=True)
class _Request:
    """A request that is not answered yet.

    ``size`` counts its bytes, and those of its answer once that is ready.
    """

    number: int
    stage: _Stage = _Stage.READING
    size: int = 0
    may_overlap: bool = False
    is_last: bool = False
    awaits_continue: bool = False

    @property
    def is_started(self) -> bool:
        """Whether the request may have been passed on."""
        return self.stage not in {_Stage.READING, _Stage.QUEUED}


class Pipeline:
    """The unanswered requests of one connection, in order."""

    def __init__(self, *, is_draining: bool = False) -> None:
        """Start without requests.

        :param is_draining: whether the first answer closes the connection.
        """
        self._requests: deque[_Request] = deque()
        self._last_number = 0
        self._is_draining = is_draining
        self._is_accepting = True
        self._is_reading = False
        self._is_closed = False

    @property
    def request_count(self) -> int:
        """The number of requests that are read or served."""
        return len(self._requests)

    @property
    def held_bytes(self) -> int:
        """Bytes of requests and answers that wait."""
        return sum(request.size for request in self._requests)

    def start(self) -> list[Effect]:
        """Return the first effects of a new connection."""
        return self._advance(has_room=True)

    def handle(
        self, event: PipelineEvent, *, has_room: bool = True
    ) -> list[Effect]:
        """Apply an event and return the effects.

        :param has_room: whether the VM may read requests ahead of others.
        """
        if self._is_closed:
            return []
        match event:
            case HeadRead():
                self._record_head(event)
            case RequestRead():
                self._record_read(event)
            case ReadFailed():
                self._end_after_read()
            case OutcomeReady(number=number, size=size):
                self._record_outcome(number, size)
            case AnswerWritten():
                if self._requests.popleft().is_last:
                    return self._close(EndCause.ANSWERED)
            case ConnectionEnded(cause=cause):
                return self._close(cause)
            case DrainStarted():
                self._is_draining = True
                self._discard_behind()
            case AcceptEnded():
                self._is_accepting = False
        return self._advance(has_room=has_room)

    def _record_head(self, event: HeadRead) -> None:
        """Add a request, unless the answer before it closes the connection."""
        if len(self._requests) < self._count_kept() or not self._is_draining:
            self._requests.append(
                _Request(event.number, awaits_continue=event.expects_continue)
            )

    def _record_read(self, event: RequestRead) -> None:
        self._is_reading = False
        request = self._find(event.number)
        if request is not None:
            request.stage = _Stage.QUEUED
            request.size = event.size
            request.may_overlap = event.may_overlap
            request.is_last = event.is_last
            request.awaits_continue = False

    def _end_after_read(self) -> None:
        """Let the last request that was read be the last of the connection."""
        if self._requests and self._requests[-1].stage is _Stage.READING:
            self._requests.pop()
        if self._requests:
            self._requests[-1].is_last = True
        self._is_accepting = False

    def _record_outcome(self, number: int, size: int) -> None:
        request = self._find(number)
        if request is not None:
            request.stage = _Stage.READY
            request.size = size

    def _find(self, number: int) -> _Request | None:
        return next(
            (request for request in self._requests if request.number == number),
            None,
        )

    def _discard_behind(self) -> None:
        """Discard the requests behind others that were not passed on.

        The answer before them closes the connection, so the caller sends them
        again, to another VM.
        """
        kept_count = self._count_kept()
        while (
            len(self._requests) > kept_count
            and not self._requests[-1].is_started
        ):
            self._requests.pop()

    def _count_kept(self) -> int:
        """Return how many requests are served while the VM shuts down.

        An answer that is already being written may not close the connection;
        the one behind it does.
        """
        first = self._requests[0] if self._requests else None
        if first is None or first.stage is not _Stage.WRITING:
            return 1
        return 1 if first.is_last else 2

    def _advance(self, *, has_room: bool) -> list[Effect]:
        """Return what can be done now."""
        if not self._requests and not self._is_accepting:
            return self._close(EndCause.DRAINED)
        effects = self._start_requests()
        if self._requests:
            effects += self._serve_first(self._requests[0])
        if self._may_read(has_room=has_room):
            self._is_reading = True
            self._last_number += 1
            effects.append(ReadRequest(self._last_number))
        return effects

    def _start_requests(self) -> list[Effect]:
        """Start the requests that may run, up to the first that may not."""
        running = sum(
            request.stage is _Stage.RUNNING for request in self._requests
        )
        effects: list[Effect] = []
        for ahead, request in enumerate(self._requests):
            if not request.is_started:
                if not self._may_start(request, ahead, running):
                    break
                running += 1
                request.stage = _Stage.RUNNING
                effects.append(StartRequest(request.number, ahead))
        return effects

    def _may_start(self, request: _Request, ahead: int, running: int) -> bool:
        """Return whether a request may run behind ``ahead`` others."""
        if ahead == 0 or request.stage is _Stage.READING:
            return request.stage is _Stage.QUEUED
        before = itertools.islice(self._requests, ahead + 1)
        may_overlap = all(other.may_overlap for other in before)
        has_room = running < MAX_RUNNING and self.held_bytes <= MAX_HELD_BYTES
        return may_overlap and has_room and not self._is_draining

    def _serve_first(self, first: _Request) -> list[Effect]:
        if first.awaits_continue:
            first.awaits_continue = False
            return [SendContinue()]
        if first.stage is not _Stage.READY:
            return []
        first.stage = _Stage.WRITING
        is_only = len(self._requests) == 1
        first.is_last = first.is_last or (self._is_draining and is_only)
        return [WriteAnswer(first.number, first.is_last)]

    def _may_read(self, *, has_room: bool) -> bool:
        if self._is_reading:
            return False
        if not self._requests:
            return True
        is_ending = self._is_draining or self._requests[-1].is_last
        is_full = (
            len(self._requests) >= MAX_READ or self.held_bytes > MAX_HELD_BYTES
        )
        return has_room and not is_ending and not is_full

    def _close(self, cause: EndCause) -> list[Effect]:
        self._is_closed = True
        self._requests.clear()
        return [CloseConnection(cause)]
