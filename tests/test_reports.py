"""Tests of fetching the revision in force on each VM."""

import asyncio
import unittest

from parameterized import parameterized

from ibisjunction.control.messages import LeaderUpdate
from ibisjunction.mailbox import run_task
from ibisjunction.membership.messages import FetchReports, VmReports
from ibisjunction.membership.reports import ReportsClient
from ibisjunction.peers.link import Received
from tests.samples import make_settings


class _Network:
    """Records the receivers of messages and delivers none."""

    def __init__(self) -> None:
        self.receivers: list[str] = []

    def subscribe(self, mailbox, *message_types) -> None:
        """Do nothing; tests post to the mailbox."""

    def set_address(self, vm, address) -> None:
        """Do nothing; every VM is reachable by name."""

    def send(self, vm, message) -> None:
        assert isinstance(message, FetchReports)
        self.receivers.append(vm)


class ReportsClientTest(unittest.IsolatedAsyncioTestCase):
    """Guards against requests to voters that have been replaced."""

    @parameterized.expand(
        [
            ('voters of the settings', (), ['vm-1', 'vm-2']),
            (
                'replaced voter',
                (LeaderUpdate('vm-3', ('vm-1', 'vm-3')),),
                ['vm-1', 'vm-3'],
            ),
        ]
    )
    async def test_requests_go_to_current_voters(
        self, _name, messages, expected
    ):
        network = _Network()
        settings = make_settings('vm-1', ('vm-1', 'vm-2'))
        client = ReportsClient(settings, network)
        async with run_task(client.run(), 'reports'):
            for message in messages:
                client.mailbox.post(message)
            await asyncio.sleep(0)
            fetching = asyncio.ensure_future(client.fetch())
            await asyncio.sleep(0)
            reports = VmReports(1, {'vm-1': 4})
            client.mailbox.post(Received('vm-1', reports))
            self.assertEqual(await fetching, reports)
        self.assertEqual(network.receivers, expected)
