"""Decides which bodies may grow when many of them arrive at once.

Callers that are not under control send many large bodies, stop just short of
their end and leave them open. The account has room for a number of bytes. A
body that finds no room waits, and its caller is not read meanwhile, so that
the network holds it back. If bodies wait:

- Small bodies are served first, and a part of the room is kept for them.
- Large bodies get room in the order in which they began, so that later ones
  don't starve one that is under way. Those of an address that holds more than
  half of the room come after the others.
- A body whose caller has stopped sending is dropped. The address that holds
  most is the first to lose one.
- If every body waits for another, the latest one is refused.
- A body that has waited for too long is refused.

The module does no I/O and reads no clock.
"""

import enum
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Final

#: Bodies up to this size use the part of the room that is kept for them. The
#: uploads of most clients are larger, other requests are smaller.
SMALL_BODY_BYTES: Final = 65_536
#: Part of the room that is kept for small bodies and for answers.
_RESERVE_SHARE: Final = 0.2
#: A body that has got less than :data:`MIN_PROGRESS_BYTES` in this time counts
#: as stopped. A lost packet is sent again within 200 to 600 ms.
STALL_MS: Final = 1500
MIN_PROGRESS_BYTES: Final = 4096
#: A body that has waited for this long is refused, so that its caller can go to
#: another VM in time.
MAX_WAIT_MS: Final = 2000
#: A longer time between two ticks means that the process was paused. Bodies
#: that arrived meanwhile were not read and don't count as stopped.
MAX_TICK_GAP_MS: Final = 500


#: Stages of bodies, as the metrics name them.
STAGES: Final = ('arriving', 'waiting', 'complete')


class Cause(enum.Enum):
    """Why a body is dropped; the name of a metric's label."""

    STOPPED = 'stopped'
    DEADLOCK = 'deadlock'
    WAITED = 'waited'


@dataclass(frozen=True, slots=True)
class BodyStarted:
    """The first bytes of a body follow."""

    number: int
    address: str


@dataclass(frozen=True, slots=True)
class RoomWanted:
    """A body got more bytes and may not be read before there is room."""

    number: int
    size: int


@dataclass(frozen=True, slots=True)
class BodyCompleted:
    """A body arrived whole; its bytes are held until it is released."""

    number: int


@dataclass(frozen=True, slots=True)
class BodyReleased:
    """The bytes of a body are no longer held, whatever the reason."""

    number: int


@dataclass(frozen=True, slots=True)
class AnswerArrives:
    """An answer is about to take room."""

    size: int


@dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed while bodies wait."""


AccountEvent = (
    BodyStarted
    | RoomWanted
    | BodyCompleted
    | BodyReleased
    | AnswerArrives
    | Tick
)


@dataclass(frozen=True, slots=True)
class ReadOn:
    """The next bytes of a body may be read."""

    number: int


@dataclass(frozen=True, slots=True)
class DropBody:
    """A body is refused; its bytes are free from now on."""

    number: int
    cause: Cause


AccountEffect = ReadOn | DropBody


@dataclass(slots=True)
class _Body:
    """A body that is held.

    ``mark_ms`` and ``mark_bytes`` tell when the body last made progress, and
    how many bytes it had then.
    """

    number: int
    address: str
    mark_ms: int
    held: int = 0
    wanted: int = 0
    waits_since_ms: int = 0
    mark_bytes: int = 0
    is_complete: bool = False

    @property
    def is_waiting(self) -> bool:
        """Whether the body is not read for lack of room."""
        return self.wanted > 0

    @property
    def stage(self) -> str:
        """The stage that the metrics name."""
        if self.is_complete:
            return 'complete'
        return 'waiting' if self.is_waiting else 'arriving'

    @property
    def is_small(self) -> bool:
        """Whether the body may use the part that is kept for small ones."""
        return self.held + self.wanted <= SMALL_BODY_BYTES

    def has_stopped(self, now: int) -> bool:
        """Whether its caller has stopped sending."""
        is_idle = now - self.mark_ms >= STALL_MS
        return is_idle and not self.is_complete and not self.is_waiting


class _HeldBodies:
    """The bodies that are held, and sums over them."""

    def __init__(self) -> None:
        self.by_number: dict[int, _Body] = {}
        self.used = 0
        self._used_by_address: Counter[str] = Counter()

    def grow(self, body: _Body) -> None:
        """Give a body the room that it wants."""
        size = body.wanted
        self.used += size
        self._used_by_address[body.address] += size
        body.held += size
        body.wanted = 0

    def remove(self, body: _Body) -> None:
        """Take the room of a body back."""
        self.used -= body.held
        self._used_by_address[body.address] -= body.held
        if not self._used_by_address[body.address]:
            self._used_by_address.pop(body.address)
        self.by_number.pop(body.number)

    def is_heavy(self, address: str, room: int) -> bool:
        """Return whether an address holds more than half of a room."""
        return self._used_by_address[address] * 2 > room

    def list_holding(self) -> Iterator[_Body]:
        """Yield the bodies that hold any room."""
        return (body for body in self.by_number.values() if body.held)

    def complete(self, number: int) -> None:
        """Record that a body arrived whole."""
        body = self.by_number.get(number)
        if body is not None:
            body.is_complete = True

    def order(self, waiting: dict[int, _Body], room: int) -> list[_Body]:
        """Return the bodies that wait, in the order in which they get room."""
        return sorted(
            waiting.values(),
            key=lambda body: (
                not body.is_small,
                self.is_heavy(body.address, room),
                body.number,
            ),
        )

    def find_victim(
        self, waiting: _Body, now: int, room: int
    ) -> tuple[_Body, Cause] | None:
        """Return the body that is dropped for one that waits."""
        stopped = self.find_stopped(now)
        if stopped is not None:
            return stopped, Cause.STOPPED
        others = [body for body in self.list_holding() if body is not waiting]
        if not others or not all(body.is_waiting for body in others):
            return None
        latest = max(
            others,
            key=lambda body: (
                self.is_heavy(body.address, room),
                body.number,
            ),
        )
        is_latest = latest.number < waiting.number and not waiting.is_small
        return (waiting if is_latest else latest), Cause.DEADLOCK

    def find_stopped(self, now: int) -> _Body | None:
        """Return the body to drop first of those whose callers have stopped.

        It is the one that stopped first, of the address that holds most.
        """
        return min(
            (body for body in self.list_holding() if body.has_stopped(now)),
            key=lambda body: (
                -self._used_by_address[body.address],
                body.mark_ms,
            ),
            default=None,
        )


@dataclass(slots=True)
class BodyAccount:
    """The bodies that one process holds, against the room for them.

    ``other_bytes`` is room that answers take; it counts like that of bodies.
    ``drops`` counts the bodies that were dropped, by cause.
    """

    limit: int
    other_bytes: int = 0
    drops: Counter[Cause] = field(default_factory=Counter)
    _held: _HeldBodies = field(default_factory=_HeldBodies)
    _waiting: dict[int, _Body] = field(default_factory=dict)
    _last_tick_ms: int = 0

    @property
    def used(self) -> int:
        """The bytes that bodies hold."""
        return self._held.used

    @property
    def waiting_count(self) -> int:
        """The number of bodies that wait for room."""
        return len(self._waiting)

    @property
    def large_body_limit(self) -> int:
        """The room for bodies that are not small."""
        return self.limit - int(self.limit * _RESERVE_SHARE)

    def count_by_stage(self) -> dict[str, int]:
        """Return the bytes held by stage, for the metrics."""
        stages = dict.fromkeys(STAGES, 0)
        for body in self._held.list_holding():
            stages[body.stage] += body.held
        return stages

    def handle(self, event: AccountEvent, now: int) -> list[AccountEffect]:
        """Apply an event and return the effects."""
        match event:
            case BodyStarted(number=number, address=address):
                self._held.by_number[number] = _Body(number, address, now)
            case RoomWanted(number=number, size=size):
                return self._add_wanted(number, size, now)
            case BodyCompleted(number=number):
                self._held.complete(number)
            case BodyReleased(number=number):
                return self._release(number, now)
            case AnswerArrives(size=size):
                return self._drop_stopped_for(size, now)
            case Tick():
                return self._check_waiting(now)
        return []

    def fits_answer(self, size: int) -> bool:
        """Return whether there is room for bytes of an answer."""
        return self.used + self.other_bytes + size <= self.limit

    def _add_wanted(
        self, number: int, size: int, now: int
    ) -> list[AccountEffect]:
        """Give a body room at once, or let it wait."""
        body = self._held.by_number.get(number)
        if body is None:
            return []
        body.wanted += size
        if not self._waiting:
            self._last_tick_ms = now
        if (body.is_small or not self._waiting) and self._fits(body):
            return [self._grant(body, now)]
        body.waits_since_ms = now
        self._waiting[number] = body
        return []

    def _release(self, number: int, now: int) -> list[AccountEffect]:
        """Take the room of a body back.

        The room of a small body is given to others at the next tick, as many
        are released in a second.
        """
        body = self._held.by_number.get(number)
        if body is None:
            return []
        self._remove(body)
        if body.held <= SMALL_BODY_BYTES:
            return []
        return self._serve_waiting(now)

    def _check_waiting(self, now: int) -> list[AccountEffect]:
        """Serve the bodies that wait, and drop others if there is no room."""
        self._forgive_pause(now)
        return [
            *self._serve_waiting(now, may_drop=True),
            *self._refuse_overdue(now),
        ]

    def _drop_stopped_for(self, size: int, now: int) -> list[AccountEffect]:
        """Drop bodies whose callers have stopped until an answer fits."""
        effects: list[AccountEffect] = []
        while not self.fits_answer(size):
            victim = self._held.find_stopped(now)
            if victim is None:
                break
            effects.append(self._drop(victim, Cause.STOPPED))
        return effects

    def _fits(self, body: _Body) -> bool:
        limit = self.limit if body.is_small else self.large_body_limit
        return self.used + self.other_bytes + body.wanted <= limit

    def _grant(self, body: _Body, now: int) -> ReadOn:
        """Give a body the room that it wants."""
        self._held.grow(body)
        was_waiting = self._waiting.pop(body.number, None) is not None
        if was_waiting or body.held - body.mark_bytes >= MIN_PROGRESS_BYTES:
            body.mark_ms = now
            body.mark_bytes = body.held
        return ReadOn(body.number)

    def _remove(self, body: _Body) -> None:
        self._held.remove(body)
        self._waiting.pop(body.number, None)

    def _drop(self, body: _Body, cause: Cause) -> DropBody:
        self._remove(body)
        self.drops[cause] += 1
        return DropBody(body.number, cause)

    def _forgive_pause(self, now: int) -> None:
        """Let no body count as stopped for a time without ticks."""
        if now - self._last_tick_ms > MAX_TICK_GAP_MS:
            for body in self._held.by_number.values():
                body.mark_ms = now
        self._last_tick_ms = now

    def _serve_waiting(
        self,
        now: int,
        *,
        may_drop: bool = False,
    ) -> list[AccountEffect]:
        """Give room to the bodies that wait, until a large one finds none.

        Later ones would take the room that this one waits for.
        """
        effects: list[AccountEffect] = []
        for body in self._held.order(self._waiting, self.large_body_limit):
            if may_drop:
                effects += self._make_room(body, now)
            if body.number not in self._waiting:
                continue
            if not self._fits(body):
                return effects
            effects.append(self._grant(body, now))
        return effects

    def _make_room(self, waiting: _Body, now: int) -> list[AccountEffect]:
        """Drop bodies until one that waits fits, or is dropped itself."""
        effects: list[AccountEffect] = []
        while waiting.number in self._waiting and not self._fits(waiting):
            victim = self._held.find_victim(waiting, now, self.large_body_limit)
            if victim is None:
                break
            effects.append(self._drop(*victim))
        return effects

    def _refuse_overdue(self, now: int) -> list[AccountEffect]:
        """Refuse the bodies that have waited for too long."""
        overdue = [
            body
            for body in self._waiting.values()
            if now - body.waits_since_ms >= MAX_WAIT_MS
        ]
        return [self._drop(body, Cause.WAITED) for body in overdue]
