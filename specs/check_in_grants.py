"""Grants of one key that travel in the answers to check-ins.

Upstreams 1 and 2 check in with a leader, which owns the decision who holds the
key. Check-ins and answers may be delayed for any time; an upstream ignores the
answer to an earlier check-in once it has used a later one. A second leader may
replace the first at any moment; it knows what was committed and nothing else.

Upstream 1 holds the key at the beginning. The model is explored in two parts,
each exhaustively: ``election`` has a second leader, ``division`` has a shard
that is divided once. A message that is never delivered stands for a lost one.

Left out: a check-in that is delayed until its sender has given the key up and
got it again. See KNOWN-RED.txt.

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
_MAX_FENCE: Final = 3
_UPSTREAMS: Final = (1, 2)
PARTS: Final = ('election', 'division')


class Mistake(enum.Enum):
    """Rules that a specification can leave out."""

    NONE = 'none'
    CLOCK_TRUSTED = 'the clocks of upstreams are taken for exact'
    HOLD_NOT_EXTENDED = 'an answer does not extend the hold'
    HOLDS_FORGOTTEN = 'a new leader takes all holds for ended'
    OLD_LEADER_ACTS = 'a leader answers after its successor was elected'
    SILENCE_IS_RELEASE = 'a released key is free before its owner says so'
    FENCE_REUSED = 'a new owner gets the fence of the one before'
    PART_TOO_EARLY = 'a part takes over the hold when it is proposed'


class CheckIn(NamedTuple):
    """A check-in on its way."""

    upstream: int
    sequence: int
    sent: int
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
    belief when the division was proposed, -1 before that.
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
        return World(whole_until=self._limit, part_until=self._limit)

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
        return [(label, (_without_dead(after),)) for label, after in found]

    def _pass_time(self, world) -> Iterator[tuple[str, World]]:
        if world.time < _MAX_TIME:
            yield 'tick', world._replace(time=world.time + 1)

    def _send(self, world) -> Iterator[tuple[str, World]]:
        for upstream in _UPSTREAMS:
            holder = world.holders[upstream - 1]
            if holder.sequence < _MAX_CHECK_INS[upstream - 1]:
                sequence = holder.sequence + 1
                check_in = CheckIn(
                    upstream,
                    sequence,
                    world.time,
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
            yield 'release', world._replace(is_releasing=True)
        is_over = world.time >= _until(world)
        hurries = self._mistake is Mistake.SILENCE_IS_RELEASE
        if world.owner and (is_over or (world.is_releasing and hurries)):
            yield 'free', _free(world)
        if world.term == 1 and self._part == 'election':
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
            yield 'answer', self._answer(rest, check_in)
            is_late = self._mistake is Mistake.OLD_LEADER_ACTS
            if world.term == 2 and is_late and world.owner:
                yield 'old leader answers', self._answer_late(world, check_in)

    def _answer_late(self, world, check_in) -> World:
        """Answer without the new leader's knowledge."""
        fence = world.fence if world.owner == check_in.upstream else 0
        return _reply(world, check_in, fence)

    def _answer(self, world, check_in) -> World:
        upstream = check_in.upstream
        if world.owner == upstream and world.is_releasing and check_in.is_freed:
            world = _free(world)
        if not world.owner and world.fence < _MAX_FENCE:
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

    def _use(self, world) -> Iterator[tuple[str, World]]:
        for answer in world.answers:
            rest = world._replace(answers=world.answers - {answer})
            holder = rest.holders[answer.upstream - 1]
            if answer.sequence > holder.used:
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


def _without_dead(world) -> World:
    """Leave out messages that nobody will use any more."""
    return world._replace(
        check_ins=frozenset(
            one
            for one in world.check_ins
            if one.sequence > world.seen[one.upstream - 1]
        ),
        answers=frozenset(
            one
            for one in world.answers
            if one.sequence > world.holders[one.upstream - 1].used
        ),
        holders=tuple(
            one if one.until > world.time else one._replace(until=0, fence=0)
            for one in world.holders
        ),
    )


def _free(world) -> World:
    return world._replace(owner=0, is_releasing=False)


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
