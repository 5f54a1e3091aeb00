"""Grants of one key that travel in the answers to check-ins.

Upstreams 1 and 2 check in with a leader, which owns the decision who holds the
key. Check-ins and answers may be delayed for any time. An upstream waits for
one answer at a time: once it has sent a check-in, it uses no answer to an
earlier one. A second leader may replace the first at any moment; it knows what
was committed and nothing else.

Upstream 1 holds the key at the beginning. The model is explored in parts, each
exhaustively: ``election`` has a second leader, ``division`` a shard that is
divided once, ``return`` a second leader and a delayed check-in of upstream 1
that was sent before it got the key for the second time. A message that is
never delivered stands for a lost one.

A check-in that says that the key was given up may arrive after its sender has
got the key again. So a leader believes one only if it was sent after another
check-in in which its sender held the key under the present fence. The release
carries that evidence to the next leader.

Time passes in ticks. An upstream holds the key for one tick from when it sent
the check-in, or two if its clock is slow. A division is proposed before it is
committed, and answers given in between renew the whole shard.

The rules are those of ``ibisjunction.coordination``. A mistake replaces one
rule, to show that the invariants notice its absence.
"""

import enum
from collections.abc import Iterator
from typing import Final, NamedTuple

from minicheck import Protocol

_HOLD: Final = 1
_SLOW_CLOCK: Final = 1
_MAX_TIME: Final = 3
#: Check-ins of upstream 1 and 2.
_MAX_CHECK_INS: Final = (2, 1)
#: Check-ins of upstream 1 before the beginning of ``return``; the first one is
#: still on its way.
_EARLIER: Final = 2
_MAX_FENCE: Final = 3
_UPSTREAMS: Final = (1, 2)
PARTS: Final = ('election', 'division', 'return')


class Mistake(enum.Enum):
    """Rules that a specification can leave out."""

    NONE = 'none'
    CLOCK_TRUSTED = 'the clocks of upstreams are taken for exact'
    HOLD_NOT_EXTENDED = 'an answer does not extend the hold'
    HOLDS_FORGOTTEN = 'a new leader takes all holds for ended'
    OLD_LEADER_ACTS = 'a leader answers after its successor was elected'
    SILENCE_IS_RELEASE = 'a released key is free before its owner says so'
    FENCE_REUSED = 'a new owner gets the fence of the one before'
    FREED_BELIEVED = 'a leader believes each check-in that gave the key up'
    PART_TOO_EARLY = 'a part takes over the hold when it is proposed'


class CheckIn(NamedTuple):
    """A check-in on its way; ``held`` is the fence of a held key, or 0."""

    upstream: int
    sequence: int
    sent: int
    held: int
    is_freed: bool


class Answer(NamedTuple):
    """An answer on its way; fence 0 leaves the key out."""

    upstream: int
    sequence: int
    sent: int
    fence: int


class Holder(NamedTuple):
    """One upstream; ``until`` is when its hold is surely over."""

    fence: int = 0
    until: int = 0
    sequence: int = 0
    used: int = 0
    highest: int = 0
    is_freed: bool = False


_FIRST_HOLDER: Final = Holder(
    fence=1,
    until=_HOLD + _SLOW_CLOCK,
    highest=1,
)


class World(NamedTuple):
    """The whole state.

    ``whole_until`` and ``part_until`` are what the leader believes of holds;
    the second counts once the shard ``is_divided``. ``proposed_until`` is the
    belief when the division was proposed, -1 before that. ``shown`` is the last
    check-in in which the owner held the key, ``shown_before`` the one that was
    committed with the release; both are 0 if there is none.
    """

    time: int = 0
    term: int = 1
    owner: int = 1
    fence: int = 1
    is_releasing: bool = False
    whole_until: int = _HOLD + _SLOW_CLOCK
    part_until: int = _HOLD + _SLOW_CLOCK
    proposed_until: int = -1
    is_divided: bool = False
    shown: int = 0
    shown_before: int = 0
    seen: tuple[int, int] = (0, 0)
    holders: tuple[Holder, Holder] = (_FIRST_HOLDER, Holder())
    check_ins: frozenset[CheckIn] = frozenset()
    answers: frozenset[Answer] = frozenset()
    is_fence_reused: bool = False


def make_protocol(part, mistake=Mistake.NONE):
    """Return the protocol of one part for minicheck."""
    steps = _Steps(part, mistake)
    return Protocol(
        name=f'check-in grants, {part}',
        candidate=False,
        fields=('world',),
        initial=(steps.begin(),),
        transitions=steps.list_steps,
        invariants={
            'one holder': _has_one_holder,
            'fences grow': _has_growing_fences,
        },
    )


def _has_one_holder(state) -> bool:
    world = state['world']
    return sum(one.until > world.time for one in world.holders) < 2


def _has_growing_fences(state) -> bool:
    return not state['world'].is_fence_reused


def _until(world) -> int:
    """Return when the leader takes the owner's hold for surely over."""
    return world.part_until if world.is_divided else world.whole_until


class _Steps:
    def __init__(self, part, mistake) -> None:
        self._part = part
        self._mistake = mistake
        slow = 0 if mistake is Mistake.CLOCK_TRUSTED else _SLOW_CLOCK
        self._limit = _HOLD + slow

    def begin(self) -> World:
        """Return the first state; upstream 1 was just answered."""
        world = World(whole_until=self._limit, part_until=self._limit)
        if self._part != 'return':
            return world
        holder = _FIRST_HOLDER._replace(
            fence=2,
            highest=2,
            sequence=_EARLIER,
            used=_EARLIER,
        )
        delayed = CheckIn(1, 1, sent=0, held=0, is_freed=True)
        return world._replace(
            fence=2,
            seen=(_EARLIER, 0),
            holders=(holder, Holder()),
            check_ins=frozenset((delayed,)),
        )

    def list_steps(self, state):
        """Return the label and the outcome of each possible step."""
        world = state[0]
        found = [
            *self._pass_time(world),
            *self._send(world),
            *self._lead(world),
            *self._receive(world),
            *self._use(world),
        ]
        return [(label, (self._without_dead(after),)) for label, after in found]

    def _without_dead(self, world) -> World:
        """Leave out messages that nobody will use any more.

        A leader that is not elected yet may use a check-in that is late for the
        present one.
        """
        may_elect = world.term == 1 and self._part != 'division'
        return world._replace(
            check_ins=frozenset(
                one
                for one in world.check_ins
                if may_elect or one.sequence > world.seen[one.upstream - 1]
            ),
            answers=frozenset(
                one
                for one in world.answers
                if one.sequence == world.holders[one.upstream - 1].sequence
                and one.sequence > world.holders[one.upstream - 1].used
            ),
            holders=tuple(
                one
                if one.until > world.time
                else one._replace(until=0, fence=0)
                for one in world.holders
            ),
        )

    def _pass_time(self, world) -> Iterator[tuple[str, World]]:
        if world.time < _MAX_TIME:
            yield 'tick', world._replace(time=world.time + 1)

    def _send(self, world) -> Iterator[tuple[str, World]]:
        for upstream in _UPSTREAMS:
            holder = world.holders[upstream - 1]
            limit = _MAX_CHECK_INS[upstream - 1]
            if self._part == 'return' and upstream == 1:
                limit += _EARLIER
            if holder.sequence < limit:
                sequence = holder.sequence + 1
                check_in = CheckIn(
                    upstream,
                    sequence,
                    world.time,
                    holder.fence if holder.until > world.time else 0,
                    holder.is_freed,
                )
                after = _with_holder(
                    world,
                    upstream,
                    holder._replace(sequence=sequence),
                )
                sent = world.check_ins | {check_in}
                yield f'{upstream} checks in', after._replace(check_ins=sent)

    def _lead(self, world) -> Iterator[tuple[str, World]]:
        if world.owner and not world.is_releasing:
            released = world._replace(
                is_releasing=True,
                shown_before=world.shown,
            )
            yield 'release', released
        is_over = world.time >= _until(world)
        hurries = self._mistake is Mistake.SILENCE_IS_RELEASE
        if world.owner and (is_over or (world.is_releasing and hurries)):
            yield 'free', _free(world)
        if world.term == 1 and self._part != 'division':
            yield 'elect', self._elect(world)
        if self._part != 'division':
            return
        if world.proposed_until < 0:
            until = world.whole_until
            yield 'propose division', world._replace(proposed_until=until)
        elif not world.is_divided:
            until = world.whole_until
            if self._mistake is Mistake.PART_TOO_EARLY:
                until = world.proposed_until
            yield 'divide', world._replace(is_divided=True, part_until=until)

    def _elect(self, world) -> World:
        until = world.time + self._limit
        if self._mistake is Mistake.HOLDS_FORGOTTEN:
            until = world.time
        return world._replace(
            term=2,
            seen=(0, 0),
            shown=0,
            whole_until=until,
            part_until=until,
        )

    def _receive(self, world) -> Iterator[tuple[str, World]]:
        for check_in in world.check_ins:
            rest = world._replace(check_ins=world.check_ins - {check_in})
            position = check_in.upstream - 1
            if check_in.sequence <= rest.seen[position]:
                continue
            seen = list(rest.seen)
            seen[position] = check_in.sequence
            rest = rest._replace(seen=tuple(seen))
            yield 'answer', self._answer(rest, check_in, takes=True)
            yield 'answer only', self._answer(rest, check_in, takes=False)
            is_late = self._mistake is Mistake.OLD_LEADER_ACTS
            if world.term == 2 and is_late and world.owner:
                yield 'old leader answers', self._answer_late(world, check_in)

    def _answer_late(self, world, check_in) -> World:
        """Answer without the new leader's knowledge."""
        fence = world.fence if world.owner == check_in.upstream else 0
        return _reply(world, check_in, fence)

    def _answer(self, world, check_in, *, takes) -> World:
        """Answer; the sender takes a free key if it ``takes`` one."""
        upstream = check_in.upstream
        if world.owner == upstream and check_in.held == world.fence:
            world = world._replace(shown=check_in.sequence)
        if world.owner == upstream and self._is_given_up(world, check_in):
            world = _free(world)
        if takes and not world.owner and world.fence < _MAX_FENCE:
            grows = self._mistake is not Mistake.FENCE_REUSED
            world = world._replace(
                owner=upstream,
                fence=world.fence + 1 if grows else max(1, world.fence),
            )
        if world.owner != upstream or world.is_releasing:
            return _reply(world, check_in, 0)
        if self._mistake is not Mistake.HOLD_NOT_EXTENDED:
            until = world.time + self._limit
            world = world._replace(
                part_until=until,
                whole_until=world.whole_until if world.is_divided else until,
            )
        return _reply(world, check_in, world.fence)

    def _is_given_up(self, world, check_in) -> bool:
        if not world.is_releasing or not check_in.is_freed or check_in.held:
            return False
        if self._mistake is Mistake.FREED_BELIEVED:
            return True
        shown = world.shown_before or world.shown
        return 0 < shown < check_in.sequence

    def _use(self, world) -> Iterator[tuple[str, World]]:
        for answer in world.answers:
            rest = world._replace(answers=world.answers - {answer})
            holder = rest.holders[answer.upstream - 1]
            is_latest = answer.sequence == holder.sequence
            if is_latest and answer.sequence > holder.used:
                yield 'use answer', _use_answer(rest, answer, holder)


def _use_answer(world, answer, holder) -> World:
    holder = holder._replace(used=answer.sequence)
    if not answer.fence:
        was_held = holder.until > world.time
        freed = holder._replace(
            until=0,
            is_freed=holder.is_freed or was_held,
        )
        return _with_holder(world, answer.upstream, freed)
    if answer.fence < holder.highest:
        return _with_holder(world, answer.upstream, holder)
    others = [
        other.highest
        for number, other in enumerate(world.holders, 1)
        if number != answer.upstream
    ]
    until = answer.sent + _HOLD + _SLOW_CLOCK
    is_taken = until > world.time and answer.fence > holder.highest
    is_reused = is_taken and answer.fence <= max(others)
    granted = holder._replace(
        fence=answer.fence,
        highest=answer.fence,
        until=until,
        is_freed=False,
    )
    after = _with_holder(world, answer.upstream, granted)
    return after._replace(is_fence_reused=world.is_fence_reused or is_reused)


def _free(world) -> World:
    return world._replace(
        owner=0,
        is_releasing=False,
        shown=0,
        shown_before=0,
    )


def _reply(world, check_in, fence) -> World:
    answer = Answer(
        check_in.upstream,
        check_in.sequence,
        check_in.sent,
        fence,
    )
    return world._replace(answers=world.answers | {answer})


def _with_holder(world, upstream, holder) -> World:
    holders = list(world.holders)
    holders[upstream - 1] = holder
    return world._replace(holders=tuple(holders))
