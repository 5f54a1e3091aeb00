"""Tests of consensus under simulated faults."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st
from parameterized import parameterized

from ibisjunction.control.consensus import Consensus
from ibisjunction.control.effects import (
    CommandProposed,
    Committed,
    Declined,
    MessageArrived,
    Send,
)
from ibisjunction.control.protocol import (
    AppendAnswer,
    AppendEntries,
    RequestVote,
    VoteAnswer,
)
from tests.replicas import TIMING, Cluster, make_voters

_NODES = ('a', 'b', 'c', 'd', 'e')

_nodes = st.sampled_from(_NODES)
_positions = st.integers(0, 40)
_actions = st.one_of(
    st.tuples(st.just('advance'), st.sampled_from([5, 30, 60, 160])),
    st.tuples(st.just('run'), st.just(0)),
    st.tuples(st.just('run'), st.just(0)),
    st.tuples(st.just('deliver'), _positions),
    st.tuples(st.just('repeat'), _positions),
    st.tuples(st.just('drop'), _positions),
    st.tuples(st.just('drop all'), st.just(0)),
    st.tuples(st.just('sync one'), _nodes),
    st.tuples(st.just('crash'), _nodes),
    st.tuples(st.just('start'), _nodes),
    st.tuples(st.just('snapshot'), _nodes),
    st.tuples(st.just('partition'), st.integers(0, 31)),
    st.tuples(st.just('propose'), st.integers(0, 6)),
    st.tuples(st.just('voters'), st.integers(1, 31)),
    st.tuples(st.just('settle'), st.integers(1, 45)),
)


def _run_message(cluster, action):
    match action:
        case ('deliver', position):
            cluster.deliver(position)
        case ('repeat', position):
            cluster.deliver(position, duplicate=True)
        case ('drop', position):
            cluster.drop(position)
        case ('drop all', _):
            cluster.messages.clear()


def _run_action(cluster, action):
    match action:
        case ('advance', delta_ms):
            cluster.advance(delta_ms)
        case ('run', _):
            cluster.deliver_queued()
        case ('sync one', node):
            cluster.sync(node, 1)
        case ('crash', node):
            cluster.crash(node)
        case ('start', node):
            cluster.start(node)
        case ('snapshot', node):
            cluster.take_snapshot(node)
        case ('partition', mask):
            cluster.partition(_split_into_groups(mask))
        case ('propose', number):
            cluster.propose(f'p-{number}')
        case ('voters', mask):
            nodes = [
                node
                for node, group in _split_into_groups(mask).items()
                if group
            ]
            cluster.propose(f'voters-{mask}', make_voters(nodes))
        case ('settle', steps):
            cluster.settle(steps)
        case _:
            _run_message(cluster, action)


def _split_into_groups(mask):
    return {node: mask >> index & 1 for index, node in enumerate(_NODES)}


class FaultTest(unittest.TestCase):
    """Guards against lost entries, two leaders and duplicate commands.

    The cluster checks its invariants at each step.
    """

    @settings(
        max_examples=150,
        derandomize=True,
        database=None,
        deadline=None,
    )
    @given(st.integers(0, 1000), st.lists(_actions, max_size=60))
    def test_invariants_hold_under_faults(self, seed, actions):
        cluster = Cluster(_NODES, seed)
        cluster.settle(60)
        for action in actions:
            _run_action(cluster, action)
        for node in _NODES:
            cluster.start(node)
        cluster.settle(150)
        self.assertEqual(len(cluster.find_acting_leaders()), 1)
        cluster.propose('last')
        cluster.settle(20)
        self.assertIn('last', cluster.proposal_indexes)

    @parameterized.expand([(seed,) for seed in range(12)])
    def test_long_run_of_faults(self, seed):
        """Runs longer than the generated ones, with frequent message loss."""
        cluster = Cluster(_NODES, seed)
        rng = cluster.rng
        for step in range(500):
            cluster.advance(rng.choice([5, 20, 40]))
            for _ in range(rng.randrange(12)):
                if rng.randrange(10) == 0:
                    cluster.drop(rng.randrange(100))
                else:
                    cluster.deliver(rng.randrange(100))
            for node in _NODES:
                if rng.randrange(2):
                    cluster.sync(node, 1)
            _inject_fault(cluster, rng, step)
        for node in _NODES:
            cluster.start(node)
        cluster.settle(150)
        self.assertEqual(len(cluster.find_acting_leaders()), 1)
        self.assertGreater(len(cluster.committed_entries), 3)


def _inject_fault(cluster, rng, step):
    node = rng.choice(_NODES)
    match rng.randrange(30):
        case 0:
            cluster.crash(node)
        case 1 | 2 | 3:
            cluster.start(node)
        case 4:
            cluster.partition(_split_into_groups(rng.randrange(32)))
        case 5 | 6:
            cluster.partition({})
        case 7:
            cluster.take_snapshot(node, rng.randrange(3))
        case 8 | 9 | 10 | 11:
            cluster.propose(f'p-{step - rng.randrange(3)}')


class _ClearsVote(Consensus):
    """Clears its vote before each vote request, so that it votes twice."""

    def handle(self, event, now):
        is_arrival = isinstance(event, MessageArrived)
        if is_arrival and isinstance(event.message, RequestVote):
            self._core.vote = ''
        return super().handle(event, now)


class _AcknowledgesEarly(Consensus):
    """Treats writes as durable before they are synced."""

    def handle(self, event, now):
        effects = super().handle(event, now)
        self._core.durability.durable_index = self._core.replica_log.last_index
        return effects


class MutationTest(unittest.TestCase):
    """Guards against a simulation that misses faults of the consensus."""

    @parameterized.expand(
        [
            ('vote given twice', _ClearsVote),
            ('acknowledged before sync', _AcknowledgesEarly),
        ]
    )
    def test_fault_is_detected(self, _name, faulty_class):
        with self.assertRaises(AssertionError):
            for seed in range(400):
                self._run_faults(faulty_class, seed)

    def _run_faults(self, faulty_class, seed):
        nodes = _NODES[:3]
        cluster = Cluster(nodes, seed, faulty_class)
        rng = cluster.rng
        for step in range(400):
            cluster.advance(rng.choice([20, 40]))
            for _ in range(rng.randrange(10)):
                cluster.deliver(rng.randrange(20))
            for node in nodes:
                if rng.randrange(10) < 3:
                    cluster.sync(node, 1)
            cluster.propose(f'p-{step}')
            if rng.randrange(10) == 0:
                node = rng.choice(nodes)
                cluster.crash(node)
                cluster.start(node)


class LeadershipTest(unittest.TestCase):
    """Guards against a leader that acts without a majority's support."""

    def test_leader_without_majority_stops_within_lease(self):
        cluster, leader = _start_cluster(_NODES)
        cluster.partition({leader: 1})
        for _ in range(TIMING.leader_lease_ms // 10 + 4):
            cluster.advance(10)
            cluster.deliver_queued()
        self.assertNotIn(leader, cluster.find_acting_leaders())
        before = len(cluster.committed_entries)
        cluster.propose('late')
        self.assertEqual(len(cluster.committed_entries), before)

    def test_late_answers_do_not_extend_leadership(self):
        """The lease starts when a request is sent, not when it is answered."""
        cluster, leader = _start_cluster(_NODES)
        replica = cluster.replicas[leader]
        cluster.messages.clear()
        sent_at = cluster.now
        cluster.now += TIMING.leader_lease_ms - 1
        late_answer = AppendAnswer(replica.term, sent_at, True, 1)
        for node in _NODES:
            cluster.handle(leader, MessageArrived(node, late_answer))
        self.assertTrue(replica.is_acting(cluster.now))
        self.assertFalse(replica.is_acting(sent_at + TIMING.leader_lease_ms))

    def test_partitioned_follower_keeps_its_term(self):
        """Without pre-vote its term would grow and force the leader out."""
        cluster, leader = _start_cluster(_NODES)
        term = cluster.replicas[leader].term
        follower = next(node for node in _NODES if node != leader)
        cluster.partition({follower: 1})
        for _ in range(200):
            cluster.advance(10)
            cluster.deliver_queued()
        cluster.settle(50)
        self.assertEqual(cluster.find_acting_leaders(), [leader])
        self.assertEqual(cluster.replicas[follower].term, term)

    @parameterized.expand([('trial', True), ('real', False)])
    def test_vote_is_refused_while_leader_is_active(self, _name, is_trial):
        cluster, leader = _start_cluster(_NODES)
        term = cluster.replicas[leader].term
        follower = next(node for node in _NODES if node != leader)
        request = RequestVote(term + 5, is_trial, 99, term + 4)
        effects = cluster.replicas[follower].handle(
            MessageArrived('b', request),
            cluster.now,
        )
        answers = [
            effect.message for effect in effects if isinstance(effect, Send)
        ]
        self.assertEqual(answers, [VoteAnswer(term, is_trial, False)])

    def test_restarted_follower_refuses_first_votes(self):
        """Before the restart it may have followed a leader that still acts."""
        cluster, leader = _start_cluster(_NODES)
        follower = next(node for node in _NODES if node != leader)
        cluster.crash(follower)
        cluster.start(follower)
        term = cluster.replicas[leader].term
        request = RequestVote(term + 1, False, 99, term)
        cluster.handle(follower, MessageArrived('b', request))
        self.assertEqual(cluster.replicas[follower].term, term)

    def test_entry_of_earlier_term_is_not_committed_by_count(self):
        cluster, leader = _start_cluster(('a', 'b', 'c'))
        replica = cluster.replicas[leader]
        others = [node for node in 'abc' if node != leader]
        effects = replica.handle(
            MessageArrived(others[0], AppendAnswer(replica.term, 0, True, 0)),
            cluster.now,
        )
        self.assertFalse(
            [effect for effect in effects if isinstance(effect, Committed)],
        )

    def test_follower_ignores_leader_of_older_term(self):
        cluster, leader = _start_cluster(_NODES)
        follower = next(node for node in _NODES if node != leader)
        replica = cluster.replicas[follower]
        last = replica.replica_log.last_index
        stale_message = AppendEntries(0, 0, 0, 50, 0, ())
        cluster.handle(follower, MessageArrived('b', stale_message))
        self.assertEqual(replica.replica_log.last_index, last)
        self.assertEqual(replica.find_leader(), leader)


class ReplacementTest(unittest.TestCase):
    """Guards against a new voter that is counted before it caught up."""

    def test_voter_is_replaced_after_disk_loss(self):
        cluster, leader = _start_cluster(_NODES)
        for number in range(20):
            cluster.propose(f'p-{number}')
        cluster.settle(20)
        lost_node = next(node for node in _NODES if node != leader)
        cluster.lose_disk(lost_node)
        cluster.take_snapshot(leader)
        cluster.add_disk('f')
        cluster.propose('add', make_voters((*_NODES, 'f')))
        cluster.settle(50)
        remaining_nodes = [node for node in (*_NODES, 'f') if node != lost_node]
        cluster.propose('remove', make_voters(remaining_nodes))
        cluster.settle(50)
        for replica in cluster.replicas.values():
            nodes = {voter.node for voter in replica.replica_log.voters}
            self.assertEqual(nodes, set(remaining_nodes))
        self.assertEqual(
            cluster.replicas['f'].commit_index,
            cluster.replicas[leader].commit_index,
        )

    def test_voter_that_is_down_is_not_added(self):
        cluster, leader = _start_cluster(_NODES)
        initial_voters = cluster.replicas[leader].replica_log.voters
        cluster.propose('add', make_voters((*_NODES, 'f')))
        cluster.settle(100)
        self.assertEqual(
            cluster.replicas[leader].replica_log.voters, initial_voters
        )
        cluster.propose('other')
        cluster.settle(10)
        self.assertIn('other', cluster.proposal_indexes)

    @parameterized.expand(
        [
            ('two at a time', ('a', 'b', 'c', 'd', 'e', 'f', 'g')),
            ('replaced at once', ('a', 'b', 'c', 'd', 'f')),
            ('none', ()),
            ('unchanged', _NODES),
        ]
    )
    def test_change_must_concern_exactly_one_voter(self, _name, nodes):
        cluster, leader = _start_cluster(_NODES)
        voters = make_voters(nodes)
        event = _propose_voters(voters)
        effects = cluster.replicas[leader].handle(event, cluster.now)
        self.assertEqual(len(effects), 1)
        self.assertIsInstance(effects[0], Declined)

    def test_leader_removes_itself(self):
        cluster, leader = _start_cluster(_NODES)
        remaining_nodes = [node for node in _NODES if node != leader]
        cluster.propose('remove', make_voters(remaining_nodes))
        cluster.settle(200)
        acting = cluster.find_acting_leaders()
        self.assertEqual(len(acting), 1)
        self.assertNotIn(leader, acting)


def _propose_voters(voters):
    return CommandProposed('change', b'', voters)


def _start_cluster(nodes, seed=1):
    cluster = Cluster(nodes, seed)
    cluster.settle(100)
    return cluster, cluster.find_acting_leaders()[0]
