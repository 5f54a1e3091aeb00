"""Tests of in-order delivery between daemons."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st
from parameterized import parameterized

from ibisjunction.byte_budget import ByteBudget
from ibisjunction.peers.delivery import (
    ACK_DELAY_MS,
    DISCARD_AFTER_MS,
    MAX_BUFFERED_BYTES,
    PART_BYTES,
    SILENT_AFTER_MS,
    WINDOW_BYTES,
    InboundLink,
    OutboundLink,
)


def send(link, payload, now):
    """Append a message; return what is sent for it at once."""
    link.append(payload, now)
    return link.take_sendable(now)


class OutboundLinkTest(unittest.TestCase):
    """Guards against permanent loss of messages on a silent connection."""

    @parameterized.expand(
        [
            ('acknowledged', 3, []),
            ('partly', 1, [2, 3]),
            ('not at all', 0, [1, 2, 3]),
        ]
    )
    def test_resends_after_silence(self, _name, acknowledged, resent):
        link = OutboundLink()
        for payload in (b'a', b'b', b'c'):
            send(link, payload, 0)
        link.acknowledge(acknowledged, 0)
        self.assertEqual(link.take_resends(SILENT_AFTER_MS - 1), [])
        messages = link.take_resends(SILENT_AFTER_MS)
        self.assertEqual([message.sequence for message in messages], resent)

    def test_wait_doubles_while_the_peer_is_down(self):
        link = OutboundLink()
        send(link, b'a', 0)
        times = [now for now in range(0, 3000, 50) if link.take_resends(now)]
        self.assertEqual(times, [300, 900, 2100])

    def test_repeated_acknowledgement_does_not_extend_the_wait(self):
        link = OutboundLink()
        send(link, b'a', 0)
        link.acknowledge(1, 0)
        send(link, b'b', 100)
        link.acknowledge(1, 390)
        self.assertEqual(len(link.take_resends(400)), 1)


class InboundLinkTest(unittest.TestCase):
    """Guards against messages that are delivered twice or out of order."""

    @parameterized.expand(
        [
            ('in order', [(1, 1), (2, 1), (3, 1)], [1, 2, 3]),
            ('repeat', [(1, 1), (1, 1), (2, 1)], [1, 2]),
            ('gap', [(1, 1), (3, 1), (2, 1), (3, 1)], [1, 2, 3]),
            ('dropped by sender', [(1, 1), (9, 8), (8, 8), (9, 8)], [1, 8, 9]),
            ('restarted receiver', [(7, 6), (6, 6), (7, 6)], [6, 7]),
        ]
    )
    def test_delivered(self, _name, arrivals, expected):
        link = InboundLink(1)
        delivered = [
            sequence
            for sequence, oldest in arrivals
            if link.accept(sequence, oldest, 0)
        ]
        self.assertEqual(delivered, expected)

    @parameterized.expand(
        [
            ('whole', [(0, 2), (1, 2)], [b'01']),
            ('single', [(0, 1), (0, 1)], [b'0', b'0']),
            ('beginning was dropped', [(1, 3), (2, 3), (0, 1)], [b'0']),
            ('end was dropped', [(0, 3), (1, 3), (0, 2), (1, 2)], [b'01']),
        ]
    )
    def test_parts(self, _name, parts, expected):
        """Guards against a message that is put together from two others."""
        link = InboundLink(1)
        completed = [
            link.add_part(str(part).encode(), part, count)
            for part, count in parts
        ]
        self.assertEqual(
            [message for message in completed if message is not None], expected
        )

    def test_acknowledges_at_once_after_many_bytes(self):
        """Guards against a sender that waits for room most of the time."""
        link = InboundLink(1)
        link.accept(1, 1, 0, PART_BYTES)
        self.assertTrue(link.is_ack_due(0))
        link.take_acknowledgement()
        self.assertFalse(link.is_ack_due(0))

    def test_acknowledges_by_itself_when_nothing_is_sent(self):
        link = InboundLink(1)
        link.accept(1, 1, 50)
        self.assertFalse(link.is_ack_due(49 + ACK_DELAY_MS))
        self.assertTrue(link.is_ack_due(50 + ACK_DELAY_MS))
        self.assertEqual(link.take_acknowledgement(), 1)
        self.assertFalse(link.is_ack_due(1000))


class BoundTest(unittest.TestCase):
    """Guards against memory and resends that grow with the size of messages.

    Grown deployments: a link kept 256 messages of any size and sent all of them
    again after 300 ms. Leaders ended over their memory limit.
    """

    @parameterized.expand(
        [
            ('small', 200, 100),
            ('medium', 200, 10_000),
            ('state of the fleet', 50, 300_000),
            ('above the bound', 5, 2 * MAX_BUFFERED_BYTES),
        ]
    )
    def test_peer_that_is_down(self, _name, count, size):
        link = OutboundLink()
        bound = max(MAX_BUFFERED_BYTES, size)
        for now in range(count):
            send(link, bytes(size), now)
            self.assertLessEqual(link.buffered_size, bound)
        resent = link.take_resends(1_000_000)
        resent_size = sum(len(message.payload) for message in resent)
        self.assertLessEqual(resent_size, WINDOW_BYTES)
        self.assertGreater(resent_size, 0)

    def test_window(self):
        """Guards against a queue in front of a slow link."""
        link = OutboundLink()
        first = send(link, bytes(10 * WINDOW_BYTES), 0)
        self.assertEqual(sum(len(part.payload) for part in first), WINDOW_BYTES)
        self.assertEqual(send(link, b'a', 1), [])
        link.acknowledge(1, 50)
        following = link.take_sendable(50)
        self.assertEqual([part.part for part in following], [2])

    def test_all_links_share_a_budget(self):
        """Guards against bytes in flight that grow with the number of VMs."""
        budget = ByteBudget(3 * PART_BYTES)
        links = [OutboundLink(budget) for _ in range(10)]
        sent = [send(link, bytes(PART_BYTES), 0) for link in links]
        self.assertEqual([len(parts) for parts in sent], [1, 1, 1] + 7 * [0])
        links[0].acknowledge(1, 0)
        self.assertEqual(len(links[9].take_sendable(0)), 1)
        links[1].discard_undeliverable(DISCARD_AFTER_MS)
        links[2].discard_undeliverable(DISCARD_AFTER_MS)
        self.assertEqual(budget.used, PART_BYTES)

    @parameterized.expand(
        [
            ('just sent', 0, 1, 0),
            ('no acknowledgement for long', 0, DISCARD_AFTER_MS, 2),
            ('progress', 6000, DISCARD_AFTER_MS, 0),
        ]
    )
    def test_discards(self, _name, acknowledged_ms, now, expected):
        link = OutboundLink()
        for _ in range(3):
            send(link, b'a', 0)
        link.acknowledge(1, acknowledged_ms)
        self.assertEqual(link.discard_undeliverable(now), expected)

    def test_parts_share_the_memory_of_a_payload(self):
        payload = bytes(5 * PART_BYTES)
        for part in send(OutboundLink(), payload, 0):
            self.assertIs(part.payload.obj, payload)


class RoundTripTest(unittest.TestCase):
    """Guards against resends while answers are late but arrive."""

    @parameterized.expand([(50,), (250,), (600,), (1500,), (3500,)])
    def test_slow_link_settles(self, round_trip_ms):
        link = OutboundLink()
        answers = {}
        resent_late = []
        for now in range(0, 100_000, 50):
            link.acknowledge(answers.get(now, 0), now)
            resends = link.take_resends(now)
            new = send(link, b'a', now) if now % 200 == 0 else []
            for message in (*resends, *new):
                answers[now + round_trip_ms] = message.sequence
            resent_late += resends if now > 50_000 else []
        self.assertEqual(resent_late, [])

    def test_wait_is_kept_until_a_round_trip_is_known(self):
        link = OutboundLink()
        send(link, b'a', 0)
        link.take_resends(300)
        link.acknowledge(1, 301)
        send(link, b'b', 400)
        self.assertEqual(link.take_resends(999), [])
        self.assertEqual(len(link.take_resends(1000)), 1)


class LossyConnection:
    """Two ends of a link; ``losses`` tells which transmissions are lost."""

    def __init__(self, losses):
        self.outbound = OutboundLink()
        self.inbound = InboundLink(1)
        self.delivered = []
        self._losses = iter(losses)

    def transmit(self, message, now):
        """Carry a message, and the acknowledgement of one that arrives."""
        if next(self._losses, False):
            return
        if self.inbound.accept(message.sequence, self.outbound.oldest, now):
            self._add_part(message)
        if not next(self._losses, False):
            received = self.inbound.take_acknowledgement()
            self.outbound.acknowledge(received, now)

    def run(self, now):
        """Carry what is due."""
        for resent in self.outbound.take_resends(now):
            self.transmit(resent, now)
        while sendable := self.outbound.take_sendable(now):
            for message in sendable:
                self.transmit(message, now)

    def _add_part(self, message):
        completed = self.inbound.add_part(
            bytes(message.payload), message.part, message.part_count
        )
        if completed is not None:
            self.delivered.append(completed)


class LossyConnectionTest(unittest.TestCase):
    """Guards against loss, repetition or reordering over lossy connections."""

    @settings(max_examples=200, derandomize=True, database=None)
    @given(
        st.lists(st.booleans(), max_size=60),
        st.lists(
            st.sampled_from((1, 20, PART_BYTES, 3 * PART_BYTES)),
            min_size=1,
            max_size=20,
        ),
    )
    def test_all_messages_arrive_once_in_order(self, losses, sizes):
        connection = LossyConnection(losses)
        payloads = [
            bytes((number,)) * size for number, size in enumerate(sizes)
        ]
        for payload in payloads:
            connection.outbound.append(payload, 0)
        # Each step is longer than the longest wait between two resends.
        for now in range(0, 1_000_000, 5000):
            connection.run(now)
        self.assertEqual(connection.delivered, payloads)
