"""Tests of the compression of commands, states and calls."""

import json
import unittest
from dataclasses import replace

import msgspec
from parameterized import parameterized

from ibisjunction.catalogue.model import (
    Item,
    ItemType,
    ItemUpdate,
    RequestKind,
    Route,
    Service,
    Target,
)
from ibisjunction.compression import compress, decompress
from ibisjunction.coordination.calls import ChangeItems
from ibisjunction.coordination.messages import decode_call, encode_call
from ibisjunction.fleet.codec import (
    decode_fleet,
    decode_fleet_command,
    encode_fleet,
    encode_fleet_command,
)
from ibisjunction.fleet.commands import UpdateItems
from ibisjunction.fleet.model import FleetState
from ibisjunction.fleet.rules import apply_fleet_command
from ibisjunction.peers.codec import CodecError

_ROUTE = Route(
    'a.example',
    '/a/',
    RequestKind.SAFE,
    timeout_ms=1000,
    target_ms=500,
    rank=0,
    max_attempts=2,
    targets=(Target('reads', 1),),
)
_SERVICE = Service('/health', 100, is_sharded=True, warmup_ms=0)


def make_update(route_count):
    """Return an update with a service and many routes."""
    items = [Item(ItemType.SERVICE, 'reads', 3, '{}', service=_SERVICE)]
    for number in range(route_count):
        host = f'host-{number}.example'
        document = json.dumps({'Name': f'r-{number}', 'Host': host})
        route = replace(_ROUTE, host=host)
        items.append(
            Item(ItemType.ROUTE, f'r-{number}', 3, document, route=route)
        )
    return ItemUpdate(tuple(items))


class SizeTest(unittest.TestCase):
    """Guards against large changes that slow links carry for seconds.

    Grown deployments: one change added 1,120 routes, 0.9 MB for each of 67 VMs
    with links of 2 to 6 Mbit/s.
    """

    def test_large_command(self):
        update = make_update(1120)
        encoded = encode_fleet_command(UpdateItems(update))
        self.assertLess(10 * len(encoded), len(msgspec.msgpack.encode(update)))


class RoundTripTest(unittest.TestCase):
    """Guards against values that change, or that earlier builds stored."""

    @parameterized.expand([(0,), (3,), (500,)])
    def test_command_state_and_call(self, route_count):
        update = make_update(route_count)
        command = UpdateItems(update)
        self.assertEqual(
            decode_fleet_command(encode_fleet_command(command)), command
        )
        state, _ = apply_fleet_command(FleetState(), command)
        self.assertEqual(decode_fleet(encode_fleet(state)), state)
        call = ChangeItems(update)
        self.assertEqual(decode_call(encode_call(call)), call)

    def test_uncompressed_state_of_an_earlier_build(self):
        state, _ = apply_fleet_command(
            FleetState(), UpdateItems(make_update(500))
        )
        self.assertEqual(decode_fleet(msgspec.msgpack.encode(state)), state)

    @parameterized.expand([(b'',), (b'\x92ab',), (bytes(5000),)])
    def test_bytes(self, encoded):
        self.assertEqual(decompress(compress(encoded)), encoded)

    @parameterized.expand(
        [(decode_fleet,), (decode_fleet_command,), (decode_call,)]
    )
    def test_damaged(self, decode):
        damaged = compress(bytes(5000))[:-4]
        with self.assertRaises(CodecError):
            decode(damaged)
