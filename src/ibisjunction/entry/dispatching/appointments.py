"""When refused callers come back, and which requests are theirs.

A caller waits as long as its answer says, but at most a part of the time that
it has left, and then sends a new request with another id, often to another VM.
The dispatcher recognises it by the fingerprint of what it asks for. Callers
that ask for the same at the same time have the same fingerprint; they may take
one another's place, which changes nothing for the others.
"""

import bisect
import heapq
from dataclasses import dataclass, replace
from typing import Final

from ibisjunction.entry.tickets.ticket_request import TicketRequest

#: Part of the time left that callers wait at most before they come back.
HONOURED_FRACTION: Final = 1 / 3
#: A request counts as on time from this long before its appointment, and until
#: this long after it: answers and requests take time to travel.
_EARLY_MS: Final = 30
_LATE_MS: Final = 250
#: Shortest time after which a refused caller comes back. The slots that are
#: in use now are not free earlier.
_MIN_RETURN_MS: Final = 50
#: Appointments of one dispatcher, each of about 250 bytes; further callers are
#: told a time but get no place.
_MAX_APPOINTMENTS: Final = 4096


@dataclass(frozen=True, slots=True)
class Room:
    """What a refused caller can expect.

    ``return_rate`` are the requests per ms for which room is kept, and
    ``wait_ms`` is the time until those that wait now have been served.
    """

    return_rate: float
    wait_ms: float


@dataclass(frozen=True, slots=True)
class _Appointment:
    """A caller that was told to come back at ``due_ms``.

    ``target_ms`` is the target of its first attempt. ``has_place`` is set if
    it goes before those that come then for the first time.
    """

    queue: str
    due_ms: int
    target_ms: int
    has_place: bool


class Appointments:
    """The appointments that one dispatcher has made."""

    def __init__(self) -> None:
        """Start without appointments."""
        self._by_fingerprint: dict[int, _Appointment] = {}
        self._by_end: list[tuple[int, int]] = []
        #: When the next place of a queue and rank is due.
        self._next_ms: dict[tuple[str, int], float] = {}
        self._places: dict[str, list[int]] = {}

    def __len__(self) -> int:
        """Return the number of callers that are to come back."""
        return len(self._by_fingerprint)

    def recognise(self, request: TicketRequest, now: int) -> TicketRequest:
        """Return a request with what is known of its earlier attempt.

        It has the target of its first attempt. If it was given a place, one
        that comes at its time goes first, and one that comes too early keeps
        the place, so that resends without pause take no second one.
        """
        self._expire(now)
        appointment = self._by_fingerprint.get(request.fingerprint)
        if appointment is None:
            return request
        self._remove(request.fingerprint)
        is_early = now < appointment.due_ms - _EARLY_MS
        return replace(
            request,
            target_ms=min(request.target_ms, appointment.target_ms),
            is_expected=appointment.has_place and not is_early,
            due_ms=appointment.due_ms if is_early else 0,
        )

    def appoint(
        self, queue: str, request: TicketRequest, room: Room, now: int
    ) -> int:
        """Return after how many ms the caller of a request should come back.

        It gets the next place of its rank, if that is due in the time that
        callers wait. One that came too early keeps the place that it had. Any
        other is told when the present backlog will be served.
        """
        self._expire(now)
        line = (queue, request.rank)
        reach_ms = now + (request.give_up_ms - now) * HONOURED_FRACTION
        due_ms: float = request.due_ms
        if due_ms <= now:
            due_ms = max(now, self._next_ms.get(line, 0)) + 1 / room.return_rate
        is_known = request.fingerprint and len(self) < _MAX_APPOINTMENTS
        has_place = bool(is_known) and due_ms <= reach_ms
        if not has_place:
            due_ms = now + room.wait_ms
        elif not request.due_ms:
            self._next_ms[line] = due_ms
        if is_known:
            appointment = _Appointment(
                queue,
                int(min(due_ms, reach_ms)),
                request.target_ms,
                has_place,
            )
            self._add(request.fingerprint, appointment)
        return max(_MIN_RETURN_MS, int(due_ms - now))

    def count_due(self, queue: str, until_ms: float) -> int:
        """Return how many places of a queue are due until a moment."""
        return bisect.bisect_right(self._places.get(queue, ()), until_ms)

    def retain(self, queues: frozenset[str]) -> None:
        """Forget the lines of all other queues."""
        self._next_ms = {
            line: next_ms
            for line, next_ms in self._next_ms.items()
            if line[0] in queues
        }

    def _add(self, fingerprint: int, appointment: _Appointment) -> None:
        if fingerprint in self._by_fingerprint:
            self._remove(fingerprint)
        self._by_fingerprint[fingerprint] = appointment
        end_ms = appointment.due_ms + _LATE_MS
        heapq.heappush(self._by_end, (end_ms, fingerprint))
        if appointment.has_place:
            places = self._places.setdefault(appointment.queue, [])
            bisect.insort(places, appointment.due_ms)

    def _remove(self, fingerprint: int) -> None:
        appointment = self._by_fingerprint.pop(fingerprint)
        if appointment.has_place:
            places = self._places[appointment.queue]
            places.remove(appointment.due_ms)
            if not places:
                self._places.pop(appointment.queue)

    def _expire(self, now: int) -> None:
        """Forget the callers that did not come back in time."""
        while self._by_end and self._by_end[0][0] < now:
            end_ms, fingerprint = heapq.heappop(self._by_end)
            appointment = self._by_fingerprint.get(fingerprint)
            if appointment and appointment.due_ms + _LATE_MS == end_ms:
                self._remove(fingerprint)
