"""Tests of the daemon's settings file."""

import tempfile
import unittest
from pathlib import Path

from parameterized import parameterized

from ibisjunction.settings import SettingsError, load_settings

_VALID = """
vm = "vm-1"
region = "r"
failure_domain = "fd-1"
http = "127.0.0.1:8001"
admin = "127.0.0.1:8002"
peer = "127.0.0.1:8003"
data_folder = "/var/lib/ibisjunction"
operator_token = "o"
upstream_token = "u"
[[keys]]
key_id = "k1"
secret = "a-shared-key-for-tests"
[[voters]]
vm = "vm-1"
peer = "127.0.0.1:8003"
"""


def _load(text):
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / 'vm.toml'
        path.write_text(text)
        return load_settings(path)


class LoadSettingsTest(unittest.TestCase):
    """Guards against a daemon that starts with settings that are not valid."""

    def test_valid(self):
        settings = _load(_VALID)
        self.assertTrue(settings.is_voter)
        self.assertEqual(settings.http.port, 8001)

    @parameterized.expand(
        [
            ('host name', '127.0.0.1:8001', 'localhost:8001', 'http'),
            ('port', '127.0.0.1:8002', '127.0.0.1:99999', 'admin'),
            ('unknown field', 'region', 'regoin', 'regoin'),
            (
                'short secret',
                'a-shared-key-for-tests',
                'short',
                'keys[0].secret',
            ),
            ('no disk', 'data_folder', '#', 'data_folder'),
        ]
    )
    def test_refuses(self, _name, valid, wrong, expected):
        with self.assertRaises(SettingsError) as caught:
            _load(_VALID.replace(valid, wrong))
        self.assertIn(expected, str(caught.exception))

    def test_reports_all_wrong_values(self):
        text = _VALID.replace('127.0.0.1', 'host')
        with self.assertRaises(SettingsError) as caught:
            _load(text)
        self.assertEqual(len(caught.exception.mistakes), 4)

    def test_reports_all_wrong_types_and_keys(self):
        text = (
            _VALID.replace('region = "r"', 'regoin = "r"')
            .replace('http = "127.0.0.1:8001"', 'http = 8001')
            .replace('key_id = "k1"', 'key_id = ""')
        )
        with self.assertRaises(SettingsError) as caught:
            _load(f'{text}[timing]\nheartbeat_ms = -1\n')
        keys = {line.split(':')[0] for line in caught.exception.mistakes}
        self.assertEqual(
            keys,
            {
                'region',
                'regoin',
                'http',
                'keys[0].key_id',
                'timing.heartbeat_ms',
            },
        )
