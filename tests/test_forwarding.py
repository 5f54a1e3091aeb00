"""Tests of how calls are passed on to the leader."""

import unittest

from parameterized import parameterized

from ibisjunction.coordination.calls import Confirmed, Depart
from ibisjunction.coordination.forwarding import CallForwarder
from ibisjunction.mailbox import Mailbox
from tests.test_coordinator import make_check_in


class RepeatTest(unittest.TestCase):
    """Guards against a departure that waits until its caller gives up.

    A leader that just stopped acting drops the calls that reach it.
    """

    def setUp(self):
        self.sent = []
        self.forwarder = CallForwarder('p', self)
        self.reply = Mailbox()

    def send(self, vm, message):
        """Record a message to another VM."""
        self.sent.append((vm, message.call_id))

    @parameterized.expand(
        [
            ('check-in', make_check_in(1), 1),
            (
                'check-in of one that leaves',
                make_check_in(1, is_draining=True),
                2,
            ),
            ('departure', Depart('u1', 10), 2),
        ]
    )
    def test_lost_call(self, _name, call, expected):
        self.forwarder.add(call, self.reply, 'leader', 0)
        for now in range(20, 1000, 20):
            self.forwarder.send_due('leader', now)
        self.assertEqual(
            self.sent, [('leader', 'p.1') for _ in range(expected)]
        )

    def test_answered_call_is_not_sent_again(self):
        self.forwarder.add(Depart('u1', 10), self.reply, 'leader', 0)
        self.forwarder.answer('p.1', Confirmed())
        self.forwarder.send_due('leader', 1000)
        self.assertEqual(len(self.sent), 1)
        self.assertEqual(self.reply.take_queued(), [Confirmed()])


if __name__ == '__main__':
    unittest.main()
