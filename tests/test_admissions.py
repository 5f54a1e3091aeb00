"""Tests of the batches in which a leader admits upstreams.

They guard against a log entry for each of thousands of upstreams that check in
at once, and against a batch that admits another fleet than single commands.
"""

import itertools
import unittest
from dataclasses import replace

from hypothesis import given, settings
from hypothesis import strategies as st
from parameterized import parameterized

from ibisjunction.coordination.admissions import MAX_BATCH, Admissions
from ibisjunction.fleet.commands import (
    AdmitUpstream,
    AdmitUpstreams,
    AssignShards,
    DivideKeys,
)
from ibisjunction.fleet.model import FleetState, Upstream
from ibisjunction.fleet.rules import apply_fleet_command

FIRST = Upstream('u0', 5, 's', 'u0:1', 'z', 3)


def make_upstreams(count):
    """Return upstreams with names and addresses of their own."""
    return [
        replace(FIRST, upstream=f'u{number}', address=f'u{number}:1')
        for number in range(count)
    ]


def make_admissions():
    """Return admissions with proposals ``p1``, ``p2`` and so on."""
    numbers = itertools.count(1)
    return Admissions(lambda: f'p{next(numbers)}')


def count_upstreams(proposal):
    """Return how many upstreams a proposal admits."""
    match proposal.command:
        case AdmitUpstream():
            return 1
        case AdmitUpstreams(upstreams=upstreams):
            return len(upstreams)


class BatchTest(unittest.TestCase):
    """Guards against many entries, and against upstreams left out."""

    @parameterized.expand(
        [
            ('one upstream', 1, [1]),
            ('two at once', 2, [1, 1]),
            ('100 after a failure domain is back', 100, [1, 99]),
            ('401 in a second', 401, [1, MAX_BATCH, MAX_BATCH]),
            ('402 in a second', 402, [1, MAX_BATCH, MAX_BATCH, 1]),
        ],
    )
    def test_arrivals_during_a_commit(self, _name, count, expected):
        admissions = make_admissions()
        upstreams = make_upstreams(count)
        waited_for = {admissions.add(upstreams[0])}
        proposals = admissions.take_next(0)
        waited_for |= {admissions.add(one) for one in upstreams[1:]}
        sizes = []
        proposed = set()
        while proposals:
            proposal = proposals[0]
            self.assertEqual(len(proposals), 1)
            self.assertEqual(admissions.take_next(0), [])
            sizes.append(count_upstreams(proposal))
            proposed.add(proposal.proposal_id)
            admissions.record_outcomes({proposal.proposal_id})
            proposals = admissions.take_next(0)
        self.assertEqual(sizes, expected)
        self.assertEqual(proposed, waited_for)

    def test_same_upstream_is_admitted_once(self):
        admissions = make_admissions()
        first = admissions.add(FIRST)
        self.assertEqual(admissions.add(FIRST), first)
        admissions.take_next(0)
        self.assertEqual(admissions.add(FIRST), first)
        admissions.record_outcomes({first})
        self.assertNotEqual(admissions.add(FIRST), first)

    @parameterized.expand(
        [
            ('this process', FIRST.born, True),
            ('an earlier process', 4, False),
        ],
    )
    def test_departure_overtakes_a_waiting_admission(
        self, _name, born, is_draining
    ):
        """Guards against requests to an upstream whose departure is answered.

        The departure is proposed at once, the admission waits for another.
        """
        admissions = make_admissions()
        admissions.add(replace(FIRST, upstream='u1', address='u1:1'))
        in_flight = admissions.take_next(0)[0]
        admissions.add(FIRST)
        admissions.mark_draining((FIRST.upstream, born))
        admissions.record_outcomes({in_flight.proposal_id})
        admitted = admissions.take_next(0)[0].command.upstream
        self.assertEqual(admitted.is_draining, is_draining)

    @parameterized.expand(
        [
            ('nothing', (), True),
            ('the command', ('p1',), False),
            ('a later command', ('p2',), False),
        ]
    )
    def test_overdue_command_may_be_committed(
        self, _name, committed, is_taking_requests
    ):
        """Guards against a departure that is confirmed before an admission.

        The command that admits the upstream no longer holds up others.
        """
        admissions = make_admissions()
        admissions.add(FIRST)
        admissions.take_next(0)
        admissions.add(replace(FIRST, upstream='u1', address='u1:1'))
        admissions.take_next(1000)
        admissions.record_outcomes(committed)
        self.assertEqual(
            admissions.is_taking_requests(FIRST.process_key),
            is_taking_requests,
        )

    def test_lost_command_does_not_hold_up_others(self):
        admissions = make_admissions()
        admissions.add(FIRST)
        admissions.take_next(0)
        admissions.add(replace(FIRST, upstream='u1', address='u1:1'))
        self.assertEqual(admissions.take_next(999), [])
        self.assertEqual(len(admissions.take_next(1000)), 1)


_upstreams = st.builds(
    Upstream,
    upstream=st.sampled_from(['u0', 'u1', 'u2']),
    born=st.integers(1, 3),
    service=st.just('s'),
    address=st.sampled_from(['a:1', 'b:1', 'c:1']),
    failure_domain=st.just('z'),
    slots=st.just(3),
    is_draining=st.booleans(),
)


class CommandTest(unittest.TestCase):
    """Guards against replicas whose state depends on the size of batches."""

    @settings(max_examples=300)
    @given(st.lists(_upstreams, max_size=3), st.lists(_upstreams, max_size=4))
    def test_equals_single_commands(self, before, admitted):
        state = FleetState()
        owned = [
            AssignShards('s', one.upstream, one.born, (0,)) for one in before
        ]
        commands = [
            DivideKeys('s', 4),
            *map(AdmitUpstream, before),
            *owned,
        ]
        for command in commands:
            state, _ = apply_fleet_command(state, command)
        singly = state
        for upstream in admitted:
            singly, _ = apply_fleet_command(singly, AdmitUpstream(upstream))
        batch = AdmitUpstreams(tuple(admitted))
        self.assertEqual(apply_fleet_command(state, batch)[0], singly)
