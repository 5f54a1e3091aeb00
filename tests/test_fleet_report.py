"""Tests of the reports of VMs and of the commands that read them."""

import io
import json
import unittest
from contextlib import redirect_stdout
from pathlib import Path
from tempfile import TemporaryDirectory

from parameterized import parameterized
from tornado.httpserver import HTTPServer
from tornado.testing import AsyncHTTPTestCase

from ibisjunction.catalogue.model import Item, ItemType, ItemUpdate, Service
from ibisjunction.cli.connection import CommandError
from ibisjunction.cli.fleet import (
    fetch_reports,
    find_shard,
    list_differing_items,
)
from ibisjunction.cli.history import LogLine
from ibisjunction.cli.key_history import KeyHistoryCommand, find_key_commands
from ibisjunction.fleet.commands import (
    AdmitUpstream,
    AssignShards,
    DivideKeys,
    FreedShard,
    FreeShards,
    ReleaseShards,
    SplitShard,
    UpdateItems,
)
from ibisjunction.fleet.model import FleetState, Upstream, list_first_keys
from ibisjunction.fleet.report import (
    ReadState,
    VmSummary,
    decode_report,
    encode_report,
)
from ibisjunction.fleet.rules import apply_fleet_command
from ibisjunction.platform.handlers import make_metrics_app

SUMMARY = VmSummary(
    vm='vm',
    role='control',
    duty='leading',
    term=3,
    index=9,
    leader='vm',
    voters=('vm', 'other'),
    vms=('edge',),
)
SERVICE = Service('/health', 100, is_sharded=True, warmup_ms=0)
UPSTREAM = Upstream('u1', 10, 'reads', 'u1:80', 'a', 3)

#: The log of a leader; the history tests expect positions in it. The number in
#: the token is the first key of a shard that the command does not change.
COMMANDS = (
    DivideKeys('reads', 4),
    AssignShards('reads', 'u1', 10, (0, 16384)),
    AssignShards('reads', 'u2', 10, (32768, 49152)),
    SplitShard('reads', 0, (8, 96)),
    ReleaseShards('reads', (8,), 5),
    ReleaseShards('other', (8,), 5),
    FreeShards('reads', (FreedShard(8, 1, 'token 32768'),)),
    AssignShards('reads', 'u2', 10, (8,)),
)


def make_state(version=1):
    """Return a state of four shards; ``u1`` owns the last two.

    The last one is being released. ``version`` is that of the service item.
    """
    item = Item(ItemType.SERVICE, 'reads', version, '{}', service=SERVICE)
    state = FleetState()
    for command in (
        UpdateItems(ItemUpdate((item,))),
        AdmitUpstream(UPSTREAM),
        DivideKeys('reads', 4),
        AssignShards('reads', 'u1', 10, (32768, 49152)),
        ReleaseShards('reads', (49152,)),
    ):
        state, _ = apply_fleet_command(state, command)
    return state


def make_report(version=1):
    """Return the report of the sample state, encoded and decoded."""
    return decode_report(encode_report(SUMMARY, make_state(version)))


class ReportTest(unittest.TestCase):
    """Guards against wrong owners, counts and versions in reports."""

    @parameterized.expand(
        [
            (0, ('', 0, False)),
            (32768, ('u1', 1, False)),
            (49151, ('u1', 1, False)),
            (65535, ('u1', 1, True)),
        ]
    )
    def test_owner_of_a_key(self, key, expected):
        shard = find_shard(make_report(), 'reads', key)
        found = (shard.owner, shard.fence, shard.is_releasing)
        self.assertEqual(found, expected)

    @parameterized.expand([('x', 0), ('reads', 65536)])
    def test_unknown_key(self, service, key):
        with self.assertRaises(CommandError):
            find_shard(make_report(), service, key)

    def test_upstream_and_its_shards(self):
        shard_counts = [
            (entry.upstream, entry.shards) for entry in make_report().upstreams
        ]
        self.assertEqual(shard_counts, [('u1', 2)])

    @parameterized.expand([(1, []), (2, [('service', 'reads', '1', '2')])])
    def test_items_that_differ(self, version, expected):
        """Guards against differing item versions that go unnoticed."""
        reports = [make_report(), make_report(version)]
        self.assertEqual(list_differing_items(reports), expected)

    def test_no_vm_answers(self):
        with self.assertRaises(CommandError):
            fetch_reports(['127.0.0.1:1'])


class _ReportMailbox:
    """A mailbox stand-in that answers each ``ReadState`` immediately."""

    def post(self, message):
        assert isinstance(message, ReadState)
        message.reply.post(encode_report(SUMMARY, make_state()))


class StateEndpointTest(AsyncHTTPTestCase):
    """Guards against a report that is missing or wrong at ``/state``."""

    def get_app(self):
        return make_metrics_app(_ReportMailbox(), _ReportMailbox())

    def get_http_server(self):
        return HTTPServer(self._app)

    def test_state_is_served(self):
        response = self.fetch('/state')
        self.assertEqual(decode_report(response.body), make_report())


class KeyHistoryTest(unittest.TestCase):
    """Guards against a history that lacks a command about the key."""

    def make_lines(self):
        """Return a log line per command, newest first, to test the sorting."""
        lines = [
            LogLine(
                float(number),
                'core',
                {'event': 209, 'command': str(command), 'why': 'because'},
            )
            for number, command in enumerate(COMMANDS)
        ]
        return reversed(lines)

    @parameterized.expand(
        [
            ('in an added shard', 9, [0, 1, 3, 4, 6, 7]),
            ('before the added shard', 7, [0, 1, 3]),
            ('of another owner', 40000, [0, 2]),
        ]
    )
    def test_commands_about_a_key(self, _name, key, expected):
        found = find_key_commands(self.make_lines(), 'reads', key)
        self.assertEqual([int(line.at_s) for line in found], expected)

    def test_first_keys_match_the_state(self):
        """Guards against a history that divides the keys unlike the state."""
        shards = make_state().shards['reads']
        self.assertEqual([shard.first for shard in shards], list_first_keys(4))

    def test_command_prints_the_reason(self):
        with TemporaryDirectory() as folder:
            path = Path(folder) / 'core.log'
            line = {'time': '1', 'event': 209, 'why': 'because'}
            line['command'] = str(COMMANDS[0])
            path.write_text(json.dumps(line))
            output = io.StringIO()
            with redirect_stdout(output):
                KeyHistoryCommand('reads', 3, [path])()
        self.assertIn('count=4): because', output.getvalue())


if __name__ == '__main__':
    unittest.main()
