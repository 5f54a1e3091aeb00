"""Tests of service files and of the catalogue built from them."""

import unittest

from parameterized import parameterized

from ibisjunction.bench.demo import read_profile
from ibisjunction.outcomes import Reason, Refused
from ibisjunction.services import (
    RequestHead,
    RouteMatch,
    ServiceCatalogue,
    ServiceFileError,
    parse_service_file,
    shard_of,
)
from ibisjunction.services.collection import parse_collection
from tests.samples import make_spec

_VALID = read_profile('consorcio')['mail-log.toml']


class ParseServiceFileTest(unittest.TestCase):
    """Guards against faulty files that are accepted and then misinterpreted."""

    @parameterized.expand([('consorcio',), ('guild',)])
    def test_profiles_are_valid(self, profile):
        self.assertEqual(len(parse_collection(read_profile(profile))), 3)

    @parameterized.expand(
        [
            ('unknown field', 'shards = 64', 'shard = 64', 'shard'),
            ('no shards', 'shards = 64', 'shards = 0', 'shards'),
            ('rank name', "rank = 'urgent'", "rank = 'high'", 'rank'),
            ('share sum', 'min_share = 0.3', 'min_share = 0.9', 'min_share'),
            ('missing rank', '[ranks.urgent]', '[ranks.standard]', 'ranks'),
            ('key name', "source = 'path'", "source = 'header'", 'key.name'),
            ('not TOML', '[key]', '[key', 'mail.toml'),
        ]
    )
    def test_refuses(self, _name, valid, wrong, expected):
        text = _VALID.replace(valid, wrong)
        self.assertNotEqual(text, _VALID)
        with self.assertRaises(ServiceFileError) as caught:
            parse_service_file(text, 'mail.toml')
        self.assertIn('mail.toml', str(caught.exception))
        self.assertIn(expected, str(caught.exception))

    def test_refuses_two_files_for_one_service(self):
        with self.assertRaises(ServiceFileError):
            parse_collection({'a.toml': _VALID, 'b.toml': _VALID})


class ServiceCatalogueTest(unittest.TestCase):
    """Guards against requests that reach a service that does not own them."""

    @parameterized.expand(
        [
            ('path', 'GET', '/mail-log/tenant%2F7/2026', 'tenant/7', 'read'),
            ('query ignored', 'POST', '/mail-log/t?x=1', 't', 'write'),
        ]
    )
    def test_matches(self, _name, method, target, key, operation):
        found = ServiceCatalogue([make_spec()]).match(
            RequestHead(method, target, {}),
        )
        self.assertIsInstance(found, RouteMatch)
        self.assertEqual(found.key, key)
        self.assertEqual(found.operation.name, operation)
        self.assertEqual(found.shard, shard_of(key, 8))

    @parameterized.expand(
        [
            ('GET', '/elsewhere/t', Reason.UNKNOWN_SERVICE),
            ('GET', '/mail-logs/t', Reason.UNKNOWN_SERVICE),
            ('PATCH', '/mail-log/t', Reason.UNKNOWN_OPERATION),
            ('GET', '/mail-log/', Reason.MISSING_KEY),
        ]
    )
    def test_refuses(self, method, target, reason):
        found = ServiceCatalogue([make_spec()]).match(
            RequestHead(method, target, {}),
        )
        self.assertIsInstance(found, Refused)
        self.assertIs(found.reason, reason)

    def test_longest_prefix_wins(self):
        specs = parse_collection(
            {
                'a.toml': _VALID,
                'b.toml': _VALID.replace('mail-log', 'archive').replace(
                    "'/archive/'",
                    "'/mail-log/archive/'",
                ),
            }
        )
        found = ServiceCatalogue(specs).match(
            RequestHead('GET', '/mail-log/archive/t', {}),
        )
        self.assertEqual(found.spec.service, 'archive')
