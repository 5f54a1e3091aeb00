"""Tests of the platform's settings file."""

import os
import tempfile
import unittest
from pathlib import Path

from ibisjunction.platform.settings import (
    PlatformSettingsError,
    load_platform_settings,
)
from ibisjunction.settings import Address

_GOOD = """
Grants = "heartbeat"
[Self]
Ip = "10.1.0.34"
Zone = "z"
Bootstrap = true
DataDir = "/data/x"
[Network]
InternalPortRange = [7540, 7555]
SeedNodes = ["10.1.0.37:8544", "10.2.0.36:8544"]
[Network.BindAddresses]
ControlPlane = "10.1.0.34:8544"
[Platform]
HeartbeatIntervalS = 0.87
[Terms.FaultTolerance]
Machines = 2
[Terms.Bounds]
DrainPeriodS = 2
RetryBudgetRatio = 0.2
"""


def load(text, *, is_control=True):
    """Return the settings loaded from a file with this text."""
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / 'local.toml'
        path.write_text(text)
        os.environ['IBISJUNCTION_SETTINGS'] = str(path)
        try:
            return load_platform_settings(is_control=is_control)
        finally:
            os.environ.pop('IBISJUNCTION_SETTINGS')


class PlatformSettingsTest(unittest.TestCase):
    """Guards against a process that starts with wrong settings."""

    def test_good(self):
        settings = load(_GOOD)
        self.assertEqual(settings.control_address, '10.1.0.34:8544')
        self.assertEqual(settings.node.vm, Address('10.1.0.34', 7540))
        self.assertEqual(settings.node.seeds[1], Address('10.2.0.36', 7540))
        self.assertEqual(settings.node.check_in_ms, 870)
        self.assertEqual(settings.node.tolerated_losses, 2)
        self.assertTrue(settings.node.is_first_start)

    def test_roles_of_one_machine_use_different_ports(self):
        settings = load(_GOOD, is_control=False)
        self.assertEqual(settings.node.vm, Address('10.1.0.34', 7541))

    def test_all_mistakes_are_listed(self):
        wrong = _GOOD.replace('Zone = "z"', '').replace('0.87', '"often"')
        with self.assertRaises(PlatformSettingsError) as caught:
            load(wrong)
        self.assertIn('Self.Zone: missing', str(caught.exception))
        self.assertIn('Platform.HeartbeatIntervalS', str(caught.exception))

    def test_seed_without_a_port(self):
        """Guards against a traceback instead of an error with the file name."""
        with self.assertRaises(PlatformSettingsError):
            load(_GOOD.replace('10.1.0.37:8544', '10.1.0.37'))

    def test_not_toml(self):
        with self.assertRaises(PlatformSettingsError):
            load('[Self')
