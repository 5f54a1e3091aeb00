"""Tests of the platform's bodies."""

import json
import unittest
from dataclasses import dataclass

from parameterized import parameterized

from ibisjunction.catalogue.items import Catalogue
from ibisjunction.catalogue.model import Accepted, ItemType, RequestKind, Target
from ibisjunction.coordination.calls import (
    ChangeItems,
    CheckedIn,
    FreedRange,
    GrantedRange,
    HeldRange,
)
from ibisjunction.coordination.messages import decode_call, encode_call
from ibisjunction.platform.bodies import InvalidBodyError
from ibisjunction.platform.check_ins import (
    decode_check_in,
    decode_departure,
    encode_checked_in,
)
from ibisjunction.platform.items import decode_update, encode_items

CHECK_IN = {
    'born': 17,
    'Address': '10.0.0.9:80',
    'Info': {'Service': 's', 'Version': 'v1', 'Zone': 'z', 'Capacity': 3},
    'Status': {'State': 'ready', 'SequenceNumber': 4, 'ColdRemainingS': 0.5},
    'Holds': [[0, 9, 7]],
    'Freed': [[10, 19, 'token']],
}
COLUMNS = [
    'Name',
    'Host',
    'PathPrefix',
    'Type',
    'TimeoutS',
    'TargetLatencyS',
    'Priority',
    'TrafficSplit',
    'MaxAttempts',
    'Version',
    'Service',
]
SPLIT = [{'Service': 's', 'Weight': 9}, {'Service': 't', 'Weight': 1}]
ROWS = [
    ['r1', 'h', '/a/', 'safe', 2, 0.5, 0, SPLIT, 2, 'r7', None],
    ['r2', 'h', '/b/', 'unsafe', 1.2, 1.5, 2, None, 2, 'r7', 's'],
]
UPDATE = {
    'Upsert': {
        'Routes': {'Columns': COLUMNS, 'Rows': ROWS},
        'Services': {
            'Columns': [
                'Name',
                'HealthCheckPath',
                'MaxConnections',
                'Sharded',
                'Version',
            ],
            'Rows': [['s', '/h', 9, True, 'r7'], ['t', '/h', 9, None, 'r7']],
        },
        'Limits': {
            'MaxHeaderBytes': 1,
            'MaxBodyBytes': 2,
            'HeaderTimeoutS': 3,
            'IdleTimeoutS': 15,
            'Version': 'r7',
        },
    },
    'Remove': {'Routes': [{'Name': 'old', 'Version': 'r9'}]},
}


def change(body, path, replacement):
    """Return a copy of a body with the field at a dotted path changed.

    A field whose new value is ``None`` is left out.
    """
    changed = json.loads(json.dumps(body))
    *parents, name = path.split('.')
    table = changed
    for parent in parents:
        table = table[parent]
    if replacement is None:
        table.pop(name)
    else:
        table[name] = replacement
    return json.dumps(changed).encode()


@dataclass(frozen=True)
class Raw:
    """JSON text that stands for itself."""

    text: str


def nest(depth):
    """Return the text of a list of lists, nested this deeply."""
    return Raw('[' * depth + ']' * depth)


def make_body(path, value):
    """Return a check-in in which one field is replaced."""
    fields = {
        'Address': '10.128.0.9:8080',
        'Info': {'Service': 's', 'Zone': 'z', 'Capacity': 4},
        'Status': {'State': 'ready', 'SequenceNumber': 4},
    }
    target = fields
    for name in path[:-1]:
        target = target[name]
    target[path[-1]] = '@' if isinstance(value, Raw) else value
    text = json.dumps(fields)
    if isinstance(value, Raw):
        text = text.replace('"@"', value.text)
    return text.encode()


class CheckInTest(unittest.TestCase):
    """Guards against check-ins that are misread or accepted incomplete."""

    def test_fields(self):
        body = json.dumps({**CHECK_IN, 'New': 1}).encode()
        check_in = decode_check_in('i', body)
        self.assertEqual(
            (check_in.upstream, check_in.born, check_in.sequence),
            ('i', 17, 4),
        )
        self.assertEqual(check_in.holds, (HeldRange(0, 9, 7),))
        self.assertEqual(check_in.freed, (FreedRange(10, 19, 'token'),))
        self.assertFalse(check_in.is_draining)

    @parameterized.expand(
        [
            ('no service', 'Info.Service', None),
            ('slots as text', 'Info.Capacity', '3'),
            ('no address', 'Address', None),
            ('unknown state', 'Status.State', 'tired'),
            ('sequence as text', 'Status.SequenceNumber', '4'),
            ('short row', 'Holds', [[1, 2]]),
        ]
    )
    def test_refused(self, _name, path, replacement):
        with self.assertRaises(InvalidBodyError):
            decode_check_in('i', change(CHECK_IN, path, replacement))

    @parameterized.expand(
        [
            ('large sequence', ('Status', 'SequenceNumber'), 10**30),
            ('negative sequence', ('Status', 'SequenceNumber'), -1),
            ('large start', ('born',), 10**25),
            ('no slots', ('Info', 'Capacity'), 0),
            ('large slots', ('Info', 'Capacity'), 10**18),
            ('key beyond the last', ('Holds',), [[0, 65_536, 1]]),
            ('large key', ('Holds',), [[0, 10**30, 1]]),
            ('large fence', ('Holds',), [[0, 5, 10**30]]),
            ('key below zero', ('Freed',), [[-1, 5, 'x']]),
            ('long token', ('Freed',), [[0, 5, 'x' * 100_000]]),
            ('long service', ('Info', 'Service'), 'x' * 100_000),
            ('port out of range', ('Address',), '10.128.0.9:99999'),
            ('large port', ('Address',), '10.128.0.9:' + '9' * 5000),
            ('no port', ('Address',), '10.128.0.9'),
            ('host name', ('Address',), 'backend:8080'),
            ('nested', ('Other',), nest(100_000)),
            ('nested holds', ('Holds',), nest(100_000)),
        ]
    )
    def test_odd_entry_of_another_writer(self, _name, path, value):
        """Guards against an entry that ends each control VM it reaches.

        Another writer's check-in with a number beyond 64 bits was accepted, and
        forwarding it to the leader raised in the task that owns the replica.
        """
        body = make_body(path, value)
        with self.assertRaises(InvalidBodyError):
            decode_check_in('i-7f3a91c2', body)

    def test_largest_numbers_can_be_forwarded(self):
        largest = 2**53 - 1
        for path in (('Status', 'SequenceNumber'), ('born',)):
            call = decode_check_in('i-1', make_body(path, largest))
            self.assertEqual(decode_call(encode_call(call)), call)

    @parameterized.expand([(b'{',), (b'\xff\xfe',), (b'',), (b'[]',)])
    def test_unreadable(self, body):
        with self.assertRaises(InvalidBodyError):
            decode_check_in('i', body)

    @parameterized.expand([(b'', 0), (b'{"born":5}', 5), (b'{}', 0)])
    def test_departure(self, body, born):
        self.assertEqual(decode_departure(body), born)

    @parameterized.expand(
        [
            ('no renewal', CheckedIn('v', is_renewal=False), {}),
            (
                'renewal',
                CheckedIn('v', True, 5000, (GrantedRange(0, 9, 7, 't'),)),
                {'HoldS': 5.0, 'Holds': [[0, 9, 7, 't']]},
            ),
        ]
    )
    def test_answer(self, _name, answer, expected):
        """Guards against an empty ``Holds`` in an answer without a renewal.

        The upstream would release all its keys.
        """
        body = json.loads(encode_checked_in(answer, 'a:1'))
        self.assertEqual(body, {'HeartbeatEndpoint': 'a:1', **expected})


class ItemsTest(unittest.TestCase):
    """Guards against items that differ from what the operator sent."""

    def test_round_trip(self):
        update = decode_update(json.dumps(UPDATE).encode())
        catalogue, outcome = Catalogue().apply(update)
        self.assertEqual(outcome, Accepted(6))
        items = tuple(
            item
            for item_type in ItemType
            for item in catalogue.list_items(item_type)
        )
        listing = json.loads(encode_items(items))
        self.assertEqual(listing['Limits'], UPDATE['Upsert']['Limits'])
        for name in ('Routes', 'Services'):
            table = UPDATE['Upsert'][name]
            self.assertEqual(_list_rows(listing[name]), _list_rows(table))

    def test_route(self):
        update = decode_update(json.dumps(UPDATE).encode())
        route = update.items[0].route
        self.assertEqual(route.kind, RequestKind.SAFE)
        self.assertEqual((route.timeout_ms, route.target_ms), (2000, 500))
        self.assertEqual(route.targets, (Target('s', 9), Target('t', 1)))
        self.assertTrue(update.items[-2].is_removed)

    @parameterized.expand(
        [
            ('kind', 3, 'odd'),
            ('version', 9, '7'),
            ('no version', 9, None),
            ('timeout as text', 4, '2'),
            ('attempts as text', 8, '2'),
            ('no host', 1, None),
        ]
    )
    def test_refused(self, _name, column, replacement):
        row = list(ROWS[1])
        row[column] = replacement
        body = change(UPDATE, 'Upsert.Routes.Rows', [ROWS[0], row])
        with self.assertRaises(InvalidBodyError):
            decode_update(body)

    def test_cut_short(self):
        """Guards against a truncated update that is applied in part."""
        body = json.dumps(UPDATE).encode()
        for length in range(0, len(body), 50):
            with self.assertRaises(InvalidBodyError):
                decode_update(body[:length])

    def test_short_row(self):
        body = change(UPDATE, 'Upsert.Routes.Rows', [ROWS[0][:5]])
        with self.assertRaises(InvalidBodyError):
            decode_update(body)

    @parameterized.expand(
        [
            ('large version', 'Version', 'r' + '9' * 30),
            ('very long version', 'Version', 'r' + '9' * 5000),
            ('large number', 'MaxConnections', 10**30),
            ('large time', 'WarmupS', 1e300),
            ('nested', 'Other', nest(100_000)),
            ('nested less', 'Other', nest(950)),
        ]
    )
    def test_odd_item_of_another_writer(self, _name, column, value):
        """Guards against an item that ends each control VM it reaches."""
        fields = {'Name': 's', 'Version': 'r7', column: value}
        columns = json.dumps(list(fields))
        cells = ','.join(
            cell.text if isinstance(cell, Raw) else json.dumps(cell)
            for cell in fields.values()
        )
        body = (
            f'{{"Upsert":{{"Services":{{"Columns":{columns},'
            f'"Rows":[[{cells}]]}}}}}}'
        )
        try:
            update = decode_update(body.encode())
        except InvalidBodyError:
            return
        call = ChangeItems(update)
        self.assertEqual(decode_call(encode_call(call)), call)
        encode_items(update.items)


def _list_rows(table):
    """Return the rows as mappings from column to value, without ``None``."""
    return [
        {
            name: cell
            for name, cell in zip(table['Columns'], row, strict=True)
            if cell is not None
        }
        for row in table['Rows']
    ]
