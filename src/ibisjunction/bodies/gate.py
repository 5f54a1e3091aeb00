"""Holds back the bodies that the account has no room for."""

import asyncio
import contextlib
import itertools
import logging
from collections.abc import Callable, Iterator
from typing import Final

from ibisjunction.bodies.account import (
    AccountEffect,
    AccountEvent,
    AnswerArrives,
    BodyAccount,
    BodyCompleted,
    BodyReleased,
    BodyStarted,
    Cause,
    DropBody,
    ReadOn,
    RoomWanted,
    Tick,
)
from ibisjunction.clock import Clock, in_seconds
from ibisjunction.events import Event, log_event

_logger = logging.getLogger(__name__)

_TICK_MS: Final = 100


class BodyHold:
    """What one body takes of the room of its process."""

    def __init__(
        self,
        gate: 'BodyGate',
        address: str,
        on_drop: Callable[[], None] | None = None,
    ) -> None:
        """Take nothing yet.

        :param on_drop: called when the account drops the body. The owner stops
            reading and forgets what it has read.
        """
        self._gate = gate
        self._address = address
        self._number = 0
        self._room: asyncio.Future[None] | None = None
        self.on_drop = on_drop

    def take(self, size: int) -> 'asyncio.Future[None] | None':
        """Count bytes that arrived.

        :return: ``None`` if the next bytes may be read, or a future that ends
            when they may.
        """
        if not self._number:
            self._number = self._gate.start(self, self._address)
        self._room = asyncio.get_running_loop().create_future()
        room = self._room
        self._gate.post(RoomWanted(self._number, size))
        return None if room.done() else room

    def complete(self) -> None:
        """Record that the body arrived whole."""
        if self._number:
            self._gate.post(BodyCompleted(self._number))

    def release(self) -> None:
        """Record that the bytes are no longer held; may be called twice."""
        if self._number:
            self._gate.end(self._number)
            self._number = 0

    def drop(self) -> None:
        """Let the owner stop reading."""
        if self.on_drop is not None:
            self.on_drop()

    def let_read_on(self) -> None:
        """End the future of :meth:`take`."""
        if self._room is not None and not self._room.done():
            self._room.set_result(None)


class BodyGate:
    """Owns the account of a process and the holds on its room."""

    def __init__(self, account: BodyAccount, clock: Clock) -> None:
        """Start without bodies."""
        self.account = account
        self._clock = clock
        self._holds: dict[int, BodyHold] = {}
        self._numbers = itertools.count(1)
        self._timer: asyncio.TimerHandle | None = None

    @contextlib.contextmanager
    def hold(
        self, address: str, on_drop: Callable[[], None]
    ) -> Iterator[BodyHold]:
        """Provide a hold that is released if the block fails."""
        held = BodyHold(self, address, on_drop)
        try:
            yield held
        except BaseException:
            held.release()
            raise

    def start(self, held: BodyHold, address: str) -> int:
        """Add a hold; return its number."""
        number = next(self._numbers)
        self._holds[number] = held
        self.post(BodyStarted(number, address))
        return number

    def end(self, number: int) -> None:
        """Remove a hold, unless its body was dropped."""
        if self._holds.pop(number, None) is not None:
            self.post(BodyReleased(number))

    def change_other_bytes(self, change: int) -> None:
        """Count room that answers take, or give it back if negative."""
        self.account.other_bytes += change
        if change < 0 and self.account.waiting_count:
            self.post(Tick())

    def admit_answer(self, size: int) -> bool:
        """Return whether there is room for bytes of an answer."""
        if not self.account.fits_answer(size):
            self.post(AnswerArrives(size))
        return self.account.fits_answer(size)

    def post(self, event: AccountEvent) -> None:
        """Pass an event to the account and execute the effects."""
        for effect in self.account.handle(event, self._clock.now()):
            self._execute(effect)
        if self.account.waiting_count and self._timer is None:
            self._timer = asyncio.get_running_loop().call_later(
                in_seconds(_TICK_MS), self._tick
            )

    def _tick(self) -> None:
        self._timer = None
        if self.account.waiting_count:
            self.post(Tick())

    def _execute(self, effect: AccountEffect) -> None:
        match effect:
            case ReadOn(number=number):
                self._holds[number].let_read_on()
            case DropBody(number=number, cause=cause):
                self._drop(number, cause)

    def _drop(self, number: int, cause: Cause) -> None:
        held = self._holds.pop(number)
        log_event(
            _logger,
            Event.BODY_DROPPED,
            cause=cause.value,
            used=self.account.used,
            limit=self.account.limit,
            waiting=self.account.waiting_count,
        )
        # An error of one owner must not keep the other effects from the rest.
        try:
            held.drop()
        except Exception:
            _logger.exception('a body could not be dropped')
