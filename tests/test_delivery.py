"""Tests of in-order delivery between daemons."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st
from parameterized import parameterized

from ibisjunction.peers.delivery import (
    ACK_DELAY_MS,
    SILENT_AFTER_MS,
    InboundLink,
    OutboundLink,
)


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
            link.append(payload, 0)
        link.acknowledge(acknowledged, 0)
        self.assertEqual(link.take_resends(SILENT_AFTER_MS - 1), [])
        messages = link.take_resends(SILENT_AFTER_MS)
        self.assertEqual([message.sequence for message in messages], resent)

    def test_wait_doubles_while_the_peer_is_down(self):
        link = OutboundLink()
        link.append(b'a', 0)
        times = [now for now in range(0, 3000, 50) if link.take_resends(now)]
        self.assertEqual(times, [300, 900, 2100])

    def test_repeated_acknowledgement_does_not_extend_the_wait(self):
        link = OutboundLink()
        link.append(b'a', 0)
        link.acknowledge(1, 0)
        link.append(b'b', 100)
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

    def test_acknowledges_by_itself_when_nothing_is_sent(self):
        link = InboundLink(1)
        link.accept(1, 1, 50)
        self.assertFalse(link.is_ack_due(49 + ACK_DELAY_MS))
        self.assertTrue(link.is_ack_due(50 + ACK_DELAY_MS))
        self.assertEqual(link.take_acknowledgement(), 1)
        self.assertFalse(link.is_ack_due(1000))


class LossyConnectionTest(unittest.TestCase):
    """Guards against loss, repetition or reordering over lossy connections."""

    @settings(max_examples=200, derandomize=True, database=None)
    @given(st.lists(st.booleans(), max_size=60), st.integers(1, 20))
    def test_all_messages_arrive_once_in_order(self, losses, count):
        outbound = OutboundLink()
        inbound = InboundLink(1)
        delivered = []
        loss_iterator = iter(losses)

        def transmit(message, now):
            if next(loss_iterator, False):
                return
            if inbound.accept(message.sequence, outbound.oldest, now):
                delivered.append(message.payload)
            if not next(loss_iterator, False):
                outbound.acknowledge(inbound.take_acknowledgement(), now)

        payloads = [str(number).encode() for number in range(count)]
        for payload in payloads:
            transmit(outbound.append(payload, 0), 0)
        # Each step is longer than the longest wait between two resends.
        for now in range(0, 1_000_000, 5000):
            for message in outbound.take_resends(now):
                transmit(message, now)
        self.assertEqual(delivered, payloads)
