"""Specification of grants that are sent in the answers to check-ins.

Upstreams 1 and 2 check in with a leader, which decides which of them holds the
only key. Check-ins and answers may be delayed for any time. An upstream waits
for one answer at a time: once it has sent a check-in, it ignores answers to
earlier ones. A second leader may replace the first at any moment; it starts
with the committed state only.

Upstream 1 holds the key initially. The model is explored in scenarios, each
exhaustively: ``election`` has a second leader, ``division`` divides the shard
of the key once, ``return`` has a second leader and a delayed check-in of
upstream 1 that was sent before it got the key for the second time. A message
that is never delivered represents a lost one.

A check-in that reports the key as freed may arrive after its sender has got
the key again. So a leader accepts the report only if it was sent after another
check-in in which its sender held the key under the current fence. The command
that releases the key includes the sequence of that check-in, so that it also
reaches the next leader.

Time passes in ticks. An upstream holds the key for one tick after it sent the
check-in, or for two if its clock is slow. A division is proposed before it is
committed, and answers sent in between extend the hold of the whole shard. Once
it is committed, the key is in a part of the shard that has its own hold.

The rules are those of ``ibisjunction.coordination``. A mistake replaces one
rule, to show that the invariants detect its absence.
"""

import enum
from collections.abc import Iterator
from typing import Final, NamedTuple

from minicheck import Protocol

_HOLD_TICKS: Final = 1
_CLOCK_ERROR_TICKS: Final = 1
_MAX_TICKS: Final = 3
#: Maximum numbers of check-ins of upstreams 1 and 2.
_MAX_CHECK_INS: Final = (2, 1)
#: Check-ins that upstream 1 sent before ``return`` starts; the first of them is
#: still in flight.
_EARLIER_CHECK_INS: Final = 2
_MAX_FENCE: Final = 3
_UPSTREAMS: Final = (1, 2)
SCENARIOS: Final = ('election', 'division', 'return')


class Mistake(enum.Enum):
    """Faults that can replace a rule of the specification."""

    NONE = 'none'
    CLOCK_ERROR_IGNORED = (
        'the leader assumes that clocks of upstreams are exact'
    )
    HOLD_NOT_EXTENDED = 'an answer does not extend the hold'
    EARLIER_HOLDS_IGNORED = 'a new leader assumes that all holds have ended'
    OLD_LEADER_ANSWERS = 'a leader answers after its successor was elected'
    FREED_UNREPORTED = (
        'a released key is freed before its owner reports it as freed'
    )
    FENCE_REUSED = 'a new owner gets the fence of the previous owner'
    DELAYED_REPORT_ACCEPTED = (
        'a leader accepts every report that the key was freed'
    )
    PART_HOLD_STALE = (
        'a part gets the hold end as it was when the division was proposed'
    )


class CheckIn(NamedTuple):
    """A check-in in flight; ``held_fence`` is 0 if the key is not held."""

    upstream: int
    sequence: int
    sent_at: int
    held_fence: int
    is_freed: bool


class Answer(NamedTuple):
    """An answer in flight; it does not grant the key if ``fence`` is 0."""

    upstream: int
    sequence: int
    sent_at: int
    fence: int


class Holder(NamedTuple):
    """The state of one upstream.

    The hold has certainly ended at ``hold_end``. ``sequence`` is that of the
    last check-in that was sent, ``applied_sequence`` that of the last one whose
    answer was applied. ``is_freed`` is true from the answer that ended a hold
    until the next grant.
    """

    fence: int = 0
    hold_end: int = 0
    sequence: int = 0
    applied_sequence: int = 0
    highest_fence: int = 0
    is_freed: bool = False


_FIRST_HOLDER: Final = Holder(
    fence=1,
    hold_end=_HOLD_TICKS + _CLOCK_ERROR_TICKS,
    highest_fence=1,
)


class World(NamedTuple):
    """The whole state.

    In the leader's table the owner's hold ends at ``whole_hold_end`` for the
    whole shard, and at ``part_hold_end`` for the part with the key once the
    shard ``is_divided``. ``proposed_hold_end`` is the value of the first when
    the division was proposed, -1 before that. ``reporting_sequence`` is that of
    the last check-in in which the owner reported that it holds the key,
    ``release_sequence`` the one that was committed with the release; both are 0
    if there is none. ``received_sequences`` are those of the last check-in that
    the leader received from each upstream. ``is_fence_reused`` records that an
    upstream was granted a fence that does not exceed those of the other.
    """

    time: int = 0
    term: int = 1
    owner: int = 1
    fence: int = 1
    is_releasing: bool = False
    whole_hold_end: int = _HOLD_TICKS + _CLOCK_ERROR_TICKS
    part_hold_end: int = _HOLD_TICKS + _CLOCK_ERROR_TICKS
    proposed_hold_end: int = -1
    is_divided: bool = False
    reporting_sequence: int = 0
    release_sequence: int = 0
    received_sequences: tuple[int, int] = (0, 0)
    holders: tuple[Holder, Holder] = (_FIRST_HOLDER, Holder())
    check_ins: frozenset[CheckIn] = frozenset()
    answers: frozenset[Answer] = frozenset()
    is_fence_reused: bool = False


def make_protocol(scenario, mistake=Mistake.NONE):
    """Return the protocol of one scenario for minicheck."""
    steps = _Steps(scenario, mistake)
    return Protocol(
        name=f'check-in grants, {scenario}',
        candidate=False,
        fields=('world',),
        initial=(steps.make_initial_world(),),
        transitions=steps.list_steps,
        invariants={
            'one holder': _has_one_holder,
            'fences grow': _has_growing_fences,
        },
    )


def _has_one_holder(state) -> bool:
    world = state['world']
    return sum(holder.hold_end > world.time for holder in world.holders) < 2


def _has_growing_fences(state) -> bool:
    return not state['world'].is_fence_reused


def _find_hold_end(world) -> int:
    """Return the end of the owner's hold in the leader's table."""
    return world.part_hold_end if world.is_divided else world.whole_hold_end


class _Steps:
    def __init__(self, scenario, mistake) -> None:
        self._scenario = scenario
        self._mistake = mistake
        clock_error_ticks = (
            0 if mistake is Mistake.CLOCK_ERROR_IGNORED else _CLOCK_ERROR_TICKS
        )
        self._leader_hold_ticks = _HOLD_TICKS + clock_error_ticks

    def make_initial_world(self) -> World:
        """Return the initial state, just after an answer to upstream 1."""
        world = World(
            whole_hold_end=self._leader_hold_ticks,
            part_hold_end=self._leader_hold_ticks,
        )
        if self._scenario != 'return':
            return world
        holder = _FIRST_HOLDER._replace(
            fence=2,
            highest_fence=2,
            sequence=_EARLIER_CHECK_INS,
            applied_sequence=_EARLIER_CHECK_INS,
        )
        delayed = CheckIn(1, 1, sent_at=0, held_fence=0, is_freed=True)
        return world._replace(
            fence=2,
            received_sequences=(_EARLIER_CHECK_INS, 0),
            holders=(holder, Holder()),
            check_ins=frozenset((delayed,)),
        )

    def list_steps(self, state):
        """Return the label and the next state of each possible step."""
        world = state[0]
        steps = [
            *self._pass_time(world),
            *self._send_check_in(world),
            *self._act_as_leader(world),
            *self._receive_check_in(world),
            *self._receive_answer(world),
        ]
        return [
            (label, (self._remove_obsolete(after),)) for label, after in steps
        ]

    def _remove_obsolete(self, world) -> World:
        """Remove messages that can have no effect, and holds that have ended.

        This reduces the number of states. A second leader accepts check-ins
        that the first one would ignore, so they stay until it is elected.
        """
        may_elect = world.term == 1 and self._scenario != 'division'
        return world._replace(
            check_ins=frozenset(
                check_in
                for check_in in world.check_ins
                if may_elect
                or check_in.sequence
                > world.received_sequences[check_in.upstream - 1]
            ),
            answers=frozenset(
                answer
                for answer in world.answers
                if answer.sequence
                == world.holders[answer.upstream - 1].sequence
                and answer.sequence
                > world.holders[answer.upstream - 1].applied_sequence
            ),
            holders=tuple(
                holder
                if holder.hold_end > world.time
                else holder._replace(hold_end=0, fence=0)
                for holder in world.holders
            ),
        )

    def _pass_time(self, world) -> Iterator[tuple[str, World]]:
        if world.time < _MAX_TICKS:
            yield 'tick', world._replace(time=world.time + 1)

    def _send_check_in(self, world) -> Iterator[tuple[str, World]]:
        for upstream in _UPSTREAMS:
            holder = world.holders[upstream - 1]
            limit = _MAX_CHECK_INS[upstream - 1]
            if self._scenario == 'return' and upstream == 1:
                limit += _EARLIER_CHECK_INS
            if holder.sequence < limit:
                sequence = holder.sequence + 1
                check_in = CheckIn(
                    upstream,
                    sequence,
                    world.time,
                    holder.fence if holder.hold_end > world.time else 0,
                    holder.is_freed,
                )
                after = _with_holder(
                    world,
                    upstream,
                    holder._replace(sequence=sequence),
                )
                in_flight = world.check_ins | {check_in}
                yield (
                    f'{upstream} checks in',
                    after._replace(check_ins=in_flight),
                )

    def _act_as_leader(self, world) -> Iterator[tuple[str, World]]:
        if world.owner and not world.is_releasing:
            released = world._replace(
                is_releasing=True,
                release_sequence=world.reporting_sequence,
            )
            yield 'release', released
        has_hold_ended = world.time >= _find_hold_end(world)
        frees_early = self._mistake is Mistake.FREED_UNREPORTED
        if world.owner and (
            has_hold_ended or (world.is_releasing and frees_early)
        ):
            yield 'free', _free(world)
        if world.term == 1 and self._scenario != 'division':
            yield 'elect', self._elect(world)
        if self._scenario != 'division':
            return
        if world.proposed_hold_end < 0:
            hold_end = world.whole_hold_end
            yield 'propose division', world._replace(proposed_hold_end=hold_end)
        elif not world.is_divided:
            hold_end = world.whole_hold_end
            if self._mistake is Mistake.PART_HOLD_STALE:
                hold_end = world.proposed_hold_end
            yield (
                'divide',
                world._replace(is_divided=True, part_hold_end=hold_end),
            )

    def _elect(self, world) -> World:
        hold_end = world.time + self._leader_hold_ticks
        if self._mistake is Mistake.EARLIER_HOLDS_IGNORED:
            hold_end = world.time
        return world._replace(
            term=2,
            received_sequences=(0, 0),
            reporting_sequence=0,
            whole_hold_end=hold_end,
            part_hold_end=hold_end,
        )

    def _receive_check_in(self, world) -> Iterator[tuple[str, World]]:
        for check_in in world.check_ins:
            rest = world._replace(check_ins=world.check_ins - {check_in})
            position = check_in.upstream - 1
            if check_in.sequence <= rest.received_sequences[position]:
                continue
            received_sequences = list(rest.received_sequences)
            received_sequences[position] = check_in.sequence
            rest = rest._replace(received_sequences=tuple(received_sequences))
            yield 'answer', self._answer(rest, check_in, assigns_key=True)
            yield 'answer only', self._answer(rest, check_in, assigns_key=False)
            is_old_leader_active = self._mistake is Mistake.OLD_LEADER_ANSWERS
            if world.term == 2 and is_old_leader_active and world.owner:
                yield (
                    'old leader answers',
                    self._answer_as_old_leader(world, check_in),
                )

    def _answer_as_old_leader(self, world, check_in) -> World:
        """Answer without recording the hold in the new leader's table."""
        fence = world.fence if world.owner == check_in.upstream else 0
        return _send_answer(world, check_in, fence)

    def _answer(self, world, check_in, *, assigns_key) -> World:
        """Answer a check-in.

        The leader first assigns a free key to the sender if ``assigns_key``.
        """
        upstream = check_in.upstream
        if world.owner == upstream and check_in.held_fence == world.fence:
            world = world._replace(reporting_sequence=check_in.sequence)
        if world.owner == upstream and self._accepts_report(world, check_in):
            world = _free(world)
        if assigns_key and not world.owner and world.fence < _MAX_FENCE:
            raises_fence = self._mistake is not Mistake.FENCE_REUSED
            world = world._replace(
                owner=upstream,
                fence=world.fence + 1 if raises_fence else max(1, world.fence),
            )
        if world.owner != upstream or world.is_releasing:
            return _send_answer(world, check_in, 0)
        if self._mistake is not Mistake.HOLD_NOT_EXTENDED:
            hold_end = world.time + self._leader_hold_ticks
            world = world._replace(
                part_hold_end=hold_end,
                whole_hold_end=world.whole_hold_end
                if world.is_divided
                else hold_end,
            )
        return _send_answer(world, check_in, world.fence)

    def _accepts_report(self, world, check_in) -> bool:
        """Return whether the leader accepts that the key is freed."""
        if (
            not world.is_releasing
            or not check_in.is_freed
            or check_in.held_fence
        ):
            return False
        if self._mistake is Mistake.DELAYED_REPORT_ACCEPTED:
            return True
        reporting_sequence = world.release_sequence or world.reporting_sequence
        return 0 < reporting_sequence < check_in.sequence

    def _receive_answer(self, world) -> Iterator[tuple[str, World]]:
        for answer in world.answers:
            rest = world._replace(answers=world.answers - {answer})
            holder = rest.holders[answer.upstream - 1]
            is_latest = answer.sequence == holder.sequence
            if is_latest and answer.sequence > holder.applied_sequence:
                yield 'apply answer', _apply_answer(rest, answer, holder)


def _apply_answer(world, answer, holder) -> World:
    holder = holder._replace(applied_sequence=answer.sequence)
    if not answer.fence:
        was_held = holder.hold_end > world.time
        freed = holder._replace(
            hold_end=0,
            is_freed=holder.is_freed or was_held,
        )
        return _with_holder(world, answer.upstream, freed)
    if answer.fence < holder.highest_fence:
        return _with_holder(world, answer.upstream, holder)
    other_fences = [
        other.highest_fence
        for number, other in enumerate(world.holders, 1)
        if number != answer.upstream
    ]
    hold_end = answer.sent_at + _HOLD_TICKS + _CLOCK_ERROR_TICKS
    is_new_hold = hold_end > world.time and answer.fence > holder.highest_fence
    is_reused = is_new_hold and answer.fence <= max(other_fences)
    granted = holder._replace(
        fence=answer.fence,
        highest_fence=answer.fence,
        hold_end=hold_end,
        is_freed=False,
    )
    after = _with_holder(world, answer.upstream, granted)
    return after._replace(is_fence_reused=world.is_fence_reused or is_reused)


def _free(world) -> World:
    return world._replace(
        owner=0,
        is_releasing=False,
        reporting_sequence=0,
        release_sequence=0,
    )


def _send_answer(world, check_in, fence) -> World:
    answer = Answer(
        check_in.upstream,
        check_in.sequence,
        check_in.sent_at,
        fence,
    )
    return world._replace(answers=world.answers | {answer})


def _with_holder(world, upstream, holder) -> World:
    holders = list(world.holders)
    holders[upstream - 1] = holder
    return world._replace(holders=tuple(holders))
