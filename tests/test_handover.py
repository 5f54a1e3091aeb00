"""Tests of the grants of one upstream and of the end of ownership."""

import itertools
import unittest
from dataclasses import dataclass, field, replace

from hypothesis import example, given, settings
from hypothesis import strategies as st
from parameterized import parameterized

from ibisjunction.bench.grants import GrantTable
from ibisjunction.control.commands import (
    AnnounceUpstream,
    AssignDispatcher,
    AssignShards,
    BeginMove,
    DrainUpstream,
    RegisterVm,
)
from ibisjunction.control.records import Grant
from ibisjunction.control.state import ControlState, apply_command
from ibisjunction.dispatch.messages import GrantsInForce
from ibisjunction.ownership.messages import ShardReleased, UpstreamLost
from ibisjunction.ownership.upstream_grants import (
    CallFailed,
    GrantsAnswered,
    SendCall,
    UpstreamGrants,
)
from ibisjunction.placement.losses import LossTable
from ibisjunction.placement.planner import PlacementInput, plan_commands
from ibisjunction.upstreams.protocol import (
    GrantAnswer,
    GrantCall,
    GrantedShard,
)
from tests.samples import TIMING, make_upstream, make_vm

_GRANT = Grant('mail-log', 0, 'up-1', 5, incarnation=1)
_MOVING = replace(_GRANT, moving_to='up-2')


def _make_grants(now=0) -> UpstreamGrants:
    return UpstreamGrants('vm-1', make_upstream(), 3, TIMING, now)


def _answer(grants, effects, now, accepted=True):
    """Answer the call among the effects, at upstream time ``now``."""
    call = next(
        effect.call for effect in effects if isinstance(effect, SendCall)
    )
    answered = GrantsAnswered(call, GrantAnswer(accepted, now), now)
    return grants.handle_answer(answered, now)


def _fail(grants, effects, now):
    call = next(
        effect.call for effect in effects if isinstance(effect, SendCall)
    )
    return grants.handle_failure(CallFailed(call, 'refused'), now)


def _make_confirmed_grants(state_grants=(_GRANT,)) -> UpstreamGrants:
    """Return grants that the upstream has confirmed."""
    grants = _make_grants()
    effects = grants.apply_grants(make_upstream(), list(state_grants), 0)
    effects = _answer(grants, effects, 0, accepted=False)
    _answer(grants, effects, 0)
    return grants


class HandoverTest(unittest.TestCase):
    """Guards against a shard that is released while requests may run."""

    def test_keeps_a_moving_shard_until_its_tickets_are_returned(self):
        grants = _make_confirmed_grants()
        self.assertEqual(
            grants.apply_grants(make_upstream(), [_MOVING], 10), []
        )
        effects = grants.mark_idle(frozenset({5}), 20)
        self.assertEqual(effects[0].call.grants, [])
        self.assertIn(
            ShardReleased('mail-log', 0, 5),
            _answer(grants, effects, 30),
        )

    def test_release_waits_for_the_answer(self):
        grants = _make_confirmed_grants()
        grants.apply_grants(make_upstream(), [_MOVING], 10)
        effects = grants.mark_idle(frozenset({5}), 20)
        repeated = _fail(grants, effects, 30)
        self.assertEqual(repeated[0].call.grants, [])
        self.assertGreater(
            repeated[0].call.sequence,
            effects[0].call.sequence,
        )

    def test_new_dispatcher_does_not_grant_a_moving_shard(self):
        grants = _make_grants()
        effects = grants.apply_grants(make_upstream(), [_MOVING], 0)
        effects = _answer(grants, effects, 0, accepted=False)
        self.assertEqual(effects[0].call.grants, [])

    @parameterized.expand(
        [
            ('same dispatcher, lease runs', 0, 504, False),
            ('same dispatcher, lease ran out', 0, 505, True),
            ('new dispatcher, leases may run', 3, 1113, False),
            ('new dispatcher, leases ran out', 3, 1114, True),
        ]
    )
    def test_new_process_waits_for_the_former(
        self, _name, start, now, is_released
    ):
        """The former process may be frozen and continue later."""
        record = replace(make_upstream(), incarnation=2)
        moving = replace(_GRANT, moving_to='up-1')
        if start:
            grants = UpstreamGrants('vm-1', record, 4, TIMING, start)
        else:
            grants = _make_confirmed_grants()
        effects = grants.apply_grants(record, [moving], 3)
        effects = _answer(grants, effects, 3, accepted=False)
        _answer(grants, effects, 3)
        grants.mark_idle(frozenset({5}), 4)
        effects = grants.renew(now)
        self.assertEqual(effects[0].call.grants, [])
        released = ShardReleased('mail-log', 0, 5)
        effects = _answer(grants, effects, now)
        self.assertEqual(released in effects, is_released)

    def test_lease_counts_from_the_call_that_got_the_echo(self):
        """Guards against a lease that the upstream has ended already."""
        grants = _make_confirmed_grants()
        effects = _answer(grants, grants.renew(100), 300)
        in_force = next(
            effect for effect in effects if isinstance(effect, GrantsInForce)
        )
        self.assertEqual(in_force.until_ms, 495)


class GrantBookTest(unittest.TestCase):
    """Guards against a delayed call that grants a revoked shard again."""

    @parameterized.expand(
        [
            ('repeated', (3, 2), False),
            ('older in the same epoch', (3, 1), False),
            ('older epoch', (2, 9), False),
            ('newer', (3, 3), True),
            ('newer epoch', (4, 1), True),
            ('newer, for another process', (3, 3), False, 2),
        ]
    )
    def test_accepts(self, _name, position, is_accepted, process=1):
        grant_table = GrantTable(1)
        granted = [GrantedShard('mail-log', 0, 5)]
        grant_table.accept(GrantCall('vm-1', 1, 3, 2, 0, 500, []), 10)
        call = GrantCall('vm-1', process, *position, 0, 500, granted)
        answer = grant_table.accept(call, 20)
        is_misdirected = process != 1
        self.assertEqual(answer is None, is_misdirected)
        if answer is not None:
            self.assertEqual(answer.accepted, is_accepted)
        self.assertEqual(grant_table.allows('mail-log', 0, 5, 30), is_accepted)


class LossTest(unittest.TestCase):
    """Guards against a loss that is reported too early or never."""

    @parameterized.expand(
        [
            ('one connection lost', (150,), False),
            ('two refusals at once', (150, 151), False),
            ('answers on no connection', (350, 550), True),
            ('refused for two renewals', (150, 151, 300), True),
        ]
    )
    def test_reports_loss(self, _name, failures, is_lost):
        grants = _make_confirmed_grants()
        effects = grants.renew(150)
        for now in failures:
            effects = effects or grants.renew(now)
            effects = _fail(grants, effects, now)
        self.assertEqual(grants.is_lost, is_lost)

    def test_answer_ends_the_count_of_failures(self):
        grants = _make_confirmed_grants()
        effects = _fail(grants, grants.renew(350), 350)
        _answer(grants, effects, 351)
        _fail(grants, grants.renew(700), 700)
        self.assertFalse(grants.is_lost)

    def test_lost_upstream_gets_no_renewal(self):
        grants = _make_confirmed_grants()
        effects = _fail(grants, grants.renew(350), 350)
        self.assertEqual(
            _fail(grants, effects, 400),
            [UpstreamLost('up-1', 3, 1, remaining_ms=105)],
        )
        self.assertEqual(
            grants.renew(600),
            [UpstreamLost('up-1', 3, 1, remaining_ms=0)],
        )
        self.assertEqual(
            grants.apply_grants(make_upstream(), [_MOVING], 600), []
        )

    def test_new_dispatcher_counts_the_former_leases(self):
        """A grant lease may start as late as the end of the former VM lease."""
        grants = _make_grants(now=1000)
        effects = grants.apply_grants(make_upstream(), [_GRANT], 1000)
        effects = _fail(grants, effects, 1200)
        lost = _fail(grants, effects, 1400)[0]
        self.assertEqual(lost.remaining_ms, 1111 - 400)


def _build_state(checks_fence=True) -> ControlState:
    state = ControlState()
    record = replace(make_upstream('up-1'), checks_fence=checks_fence)
    for command in (
        RegisterVm(make_vm('vm-1')),
        AnnounceUpstream(record),
        AnnounceUpstream(make_upstream('up-2')),
        AssignDispatcher('up-1', 'vm-1'),
        AssignDispatcher('up-2', 'vm-1'),
        AssignShards('mail-log', 'up-1', (0, 1)),
        AssignShards('mail-log', 'up-2', (2, 3)),
    ):
        state, _ = apply_command(state, command)
    return state


class LossTableTest(unittest.TestCase):
    """Guards against a new owner before the former one has stopped."""

    @parameterized.expand(
        [
            ('lease runs', True, 302, False),
            ('lease ran out', True, 303, True),
            ('VM leases may run', False, 605, False),
            ('VM leases ran out', False, 606, True),
        ]
    )
    def test_owner_has_ended(self, _name, checks_fence, now, has_ended):
        state = _build_state(checks_fence)
        table = LossTable(TIMING)
        table.record_loss(UpstreamLost('up-1', 1, 1, 300), 0)
        state, _ = apply_command(state, BeginMove('mail-log', 0, 1, 'up-2'))
        table.update(state, 0)
        self.assertEqual(1 in table.find_ended(state, now), has_ended)

    @parameterized.expand(
        [
            ('new epoch', AssignDispatcher('up-1', 'vm-1', 1)),
            ('new process', AnnounceUpstream(make_upstream(incarnation=2))),
        ]
    )
    def test_outdated_report_is_dropped(self, _name, command):
        state = _build_state()
        table = LossTable(TIMING)
        table.record_loss(UpstreamLost('up-1', 1, 1, 0), 0)
        table.update(state, 0)
        self.assertEqual(table.lost, {'up-1'})
        state, _ = apply_command(state, command)
        table.update(state, 1)
        self.assertEqual(table.lost, frozenset())

    def test_release_of_a_shard_that_does_not_move_is_dropped(self):
        state = _build_state()
        table = LossTable(TIMING)
        table.record_release(ShardReleased('mail-log', 0, 1))
        table.update(state, 0)
        self.assertEqual(table.find_ended(state, 9), frozenset())


@dataclass
class _Process:
    """A process of an upstream with its own clock."""

    upstream: str
    rate: float
    grant_table: GrantTable = field(default_factory=lambda: GrantTable(1))

    def clock(self, now) -> int:
        return int(now * self.rate) + 7_000


@dataclass
class _SentCall:
    """A sent call; it may be processed after its sender gave up waiting."""

    grants: UpstreamGrants
    process: _Process
    send: SendCall
    sent_at: int


class _System:
    """Two upstreams with real dispatch, loss and planning decisions.

    Messages are delayed, reordered or lost; clocks of upstreams differ by up
    to the clock error; a frozen process of an upstream may continue.
    """

    def __init__(self, rates) -> None:
        self.now = 0
        self.state = _build_state()
        self.losses = LossTable(TIMING)
        self.processes = [
            _Process('up-1', rates[0]),
            _Process('up-2', rates[1]),
        ]
        self.current_processes = {
            process.upstream: process for process in self.processes
        }
        self.grants: dict[str, UpstreamGrants] = {}
        self.former_dispatchers: list[tuple[int, str, UpstreamGrants]] = []
        self.calls: list[_SentCall] = []
        self.apply_state()

    def apply_state(self) -> None:
        self.losses.update(self.state, self.now)
        for upstream, dispatcher in self.state.dispatchers.items():
            grants = self.grants.get(upstream)
            record = self.state.upstreams[upstream]
            if grants is None or grants.epoch != dispatcher.epoch:
                if grants is not None:
                    # The former dispatcher may not have applied the change
                    # yet, and may act until its VM lease ends.
                    until = self.now + TIMING.vm_lease_ms
                    self.former_dispatchers.append((until, upstream, grants))
                grants = UpstreamGrants(
                    'vm-1',
                    record,
                    dispatcher.epoch,
                    TIMING,
                    self.now,
                )
                self.grants[upstream] = grants
            state_grants = self.state.grants_of(upstream)
            self.execute_effects(
                upstream,
                grants,
                grants.apply_grants(record, state_grants, self.now),
            )

    def execute_effects(self, upstream, grants, effects) -> None:
        for effect in effects:
            match effect:
                case SendCall():
                    process = self.current_processes[upstream]
                    sent = _SentCall(grants, process, effect, self.now)
                    self.calls.append(sent)
                case ShardReleased():
                    self.losses.record_release(effect)
                case UpstreamLost():
                    self.losses.record_loss(effect, self.now)

    def apply(self, command) -> None:
        self.state, _ = apply_command(self.state, command)
        self.apply_state()

    def advance(self, delta_ms) -> None:
        self.now += delta_ms

    def renew(self, number) -> None:
        upstream = f'up-{number}'
        grants = self.grants.get(upstream)
        if grants is not None:
            self.execute_effects(upstream, grants, grants.renew(self.now))

    def renew_former(self, number) -> None:
        for until, upstream, grants in self.former_dispatchers[-number:]:
            if self.now < until:
                self.execute_effects(upstream, grants, grants.renew(self.now))

    def deliver(self, number, is_answered) -> None:
        """Process a call at the upstream, perhaps for the second time."""
        if not self.calls:
            return
        sent = self.calls[number % len(self.calls)]
        process = sent.process
        answer = process.grant_table.accept(
            sent.send.call,
            process.clock(self.now),
        )
        if is_answered and answer is None:
            self.fail(number)
        elif is_answered:
            answered = GrantsAnswered(sent.send.call, answer, sent.sent_at)
            effects = sent.grants.handle_answer(answered, self.now)
            self.execute_effects(process.upstream, sent.grants, effects)

    def fail(self, number) -> None:
        if self.calls:
            sent = self.calls[number % len(self.calls)]
            failed = CallFailed(sent.send.call, 'no answer')
            effects = sent.grants.handle_failure(failed, self.now)
            self.execute_effects(sent.process.upstream, sent.grants, effects)

    def mark_idle(self, number) -> None:
        upstream = f'up-{number}'
        fences = frozenset(
            grant.fence
            for grant in self.state.grants_of(upstream)
            if grant.moving_to
        )
        grants = self.grants.get(upstream)
        if grants is not None:
            effects = grants.mark_idle(fences, self.now)
            self.execute_effects(upstream, grants, effects)

    def move(self, shard) -> None:
        grant = self.state.grant_of('mail-log', shard)
        if grant is not None:
            to = 'up-2' if grant.upstream == 'up-1' else 'up-1'
            self.apply(BeginMove('mail-log', shard, grant.fence, to))

    def replace_dispatcher(self, number) -> None:
        upstream = f'up-{number}'
        record = self.state.dispatchers.get(upstream)
        if record is not None:
            self.apply(AssignDispatcher(upstream, 'vm-1', record.epoch))

    def restart(self, number) -> None:
        """Start a new process; the former one is frozen and may continue."""
        upstream = f'up-{number}'
        incarnation = len(self.processes) + 1
        process = replace(
            self.current_processes[upstream],
            grant_table=GrantTable(incarnation),
        )
        self.processes.append(process)
        self.current_processes[upstream] = process
        record = make_upstream(upstream, incarnation=incarnation)
        self.apply(AnnounceUpstream(record))

    def drain(self, number) -> None:
        self.apply(DrainUpstream(f'up-{number}'))

    def plan(self) -> None:
        self.apply_state()
        commands = plan_commands(
            PlacementInput(
                state=self.state,
                live_vms=frozenset({'vm-1'}),
                shards={'mail-log': 4},
                lost=self.losses.lost,
                expired=self.losses.find_expired(self.state, self.now),
                ended=self.losses.find_ended(self.state, self.now),
            ),
        )
        for command in commands:
            self.apply(command)

    def count_owners(self, shard) -> int:
        """Return how many processes accept requests for a shard now."""
        return sum(
            any(
                process.grant_table.allows(
                    'mail-log',
                    shard,
                    fence,
                    process.clock(self.now),
                )
                for fence in range(1, self.state.last_fence + 1)
            )
            for process in self.processes
        )


_rates = st.sampled_from([0.996, 1, 1.004])
_number = st.integers(1, 2)
_call_number = st.integers(-4, -1)
_actions = st.one_of(
    st.tuples(st.just('advance'), st.integers(1, 700)),
    st.tuples(st.just('renew'), _number),
    st.tuples(st.just('renew_former'), _number),
    st.tuples(st.just('deliver'), _call_number, st.just(True)),
    st.tuples(st.just('deliver'), _call_number, st.booleans()),
    st.tuples(st.just('fail'), _call_number),
    st.tuples(st.just('mark_idle'), _number),
    st.tuples(st.just('move'), st.integers(0, 3)),
    st.tuples(st.just('replace_dispatcher'), _number),
    st.tuples(st.just('restart'), _number),
    st.tuples(st.just('drain'), _number),
    st.tuples(st.just('plan')),
)


#: A former dispatcher renews the grants of a process that was frozen, and the
#: call reaches the process that was started in its place. Both then hold them.
_RENEWED_FOR_ITS_SUCCESSOR = [
    ('advance', 1),
    ('replace_dispatcher', 1),
    ('restart', 1),
    ('renew_former', 1),
    ('deliver', -1, True),
]


class OneOwnerTest(unittest.TestCase):
    """Guards against two upstreams that accept requests for one shard (R1)."""

    @settings(
        max_examples=600,
        derandomize=True,
        database=None,
        deadline=None,
    )
    @given(
        st.tuples(_rates, _rates),
        st.lists(_actions, min_size=5, max_size=80),
    )
    @example(rates=(0.996, 0.996), actions=_RENEWED_FOR_ITS_SUCCESSOR)
    def test_at_most_one_owner(self, rates, actions):
        system = _System(rates)
        for name, *arguments in itertools.chain(_FIRST_ACTIONS, actions):
            getattr(system, name)(*arguments)
            for shard in range(4):
                self.assertLessEqual(system.count_owners(shard), 1)


#: Both upstreams hold their grants before the first action.
_FIRST_ACTIONS = (
    ('deliver', 0, True),
    ('deliver', 1, True),
    ('deliver', -1, True),
    ('deliver', -2, True),
)
