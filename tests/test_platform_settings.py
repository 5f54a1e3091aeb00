"""Tests of the platform's settings file."""

import os
import tempfile
import unittest
from pathlib import Path

from parameterized import parameterized

from ibisjunction.platform.settings import (
    PlatformSettingsError,
    find_missing_addresses,
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
        self.assertEqual(settings.node.catch_up_ms, 4000)
        self.assertEqual(settings.node.tolerated_losses, 2)
        self.assertTrue(settings.node.is_first_start)

    @parameterized.expand(
        [
            ('small', 0.322, 1, 3.4, 11),
            ('large', 0.537, 2, 11.0, 118),
            ('tiny', 0.0001, 1, 1, 1),
        ]
    )
    def test_capacity(self, _name, share, cores, link_mbps, expected):
        limits = (
            f'[Self.Limits]\nCpuShare = {share}\nCpuCores = {cores}\n'
            f'LinkMbps = {link_mbps}\n[Network]\nInternal'
        )
        text = _GOOD.replace('[Network]\nInternal', limits)
        self.assertEqual(load(text).node.capacity, expected)

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


class AllowedValueTest(unittest.TestCase):
    """Guards against an allowed value that ends each process at its start."""

    @parameterized.expand(
        [
            (bound, text)
            for bound in (
                'DrainPeriodS',
                'GracePeriodS',
                'MaxHoldS',
                'RetryBudgetRatio',
                'RetryBudgetSlack',
                'BudgetWindowS',
            )
            for text in ('3', '2.6', '0.0004', 'true')
        ]
        + [
            ('RetryBudgetSlack', '0'),
            ('RetryBudgetSlack', 'false'),
            ('NotKnownHere', '"text"'),
        ]
    )
    def test_bound(self, bound, text):
        for is_control in (True, False):
            load(
                _GOOD.replace('DrainPeriodS = 2', '').replace(
                    'RetryBudgetRatio = 0.2', f'{bound} = {text}'
                ),
                is_control=is_control,
            )

    @parameterized.expand(
        [
            ('RetryBudgetSlack = 46.4', 46.4),
            ('RetryBudgetSlack = 206', 206),
            ('RetryBudgetSlack = true', 1),
        ]
    )
    def test_slack_keeps_its_fraction(self, line, expected):
        text = _GOOD.replace('RetryBudgetRatio = 0.2', line)
        self.assertEqual(load(text).node.budget.slack, expected)

    @parameterized.expand(
        [
            ('Machines = 2', 'Machines = 2.0', 'tolerated_losses', 2),
            ('0.87', '1', 'check_in_ms', 1000),
            ('0.87', '0.0004', 'check_in_ms', 1),
        ]
    )
    def test_number(self, old, new, field, expected):
        node = load(_GOOD.replace(old, new)).node
        self.assertEqual(getattr(node, field), expected)


class MistakeTest(unittest.TestCase):
    """Guards against a process that ends without the name of the mistake."""

    @parameterized.expand(
        [
            ('0.87', '0', 'Platform.HeartbeatIntervalS'),
            ('0.87', 'inf', 'Platform.HeartbeatIntervalS'),
            ('Machines = 2', 'Machines = 1.5', 'FaultTolerance.Machines'),
            ('Machines = 2', 'Machines = -1', 'FaultTolerance.Machines'),
            ('DrainPeriodS = 2', 'DrainPeriodS = -1', 'Bounds.DrainPeriodS'),
            ('DrainPeriodS = 2', 'DrainPeriodS = inf', 'Bounds.DrainPeriodS'),
            ('DrainPeriodS = 2', 'DrainPeriodS = nan', 'Bounds.DrainPeriodS'),
            ('DrainPeriodS = 2', 'BudgetWindowS = 0', 'Bounds.BudgetWindowS'),
            ('DrainPeriodS = 2', 'DrainPeriodS = "2"', 'Bounds.DrainPeriodS'),
            ('= 0.2', '= nan', 'Bounds.RetryBudgetRatio'),
            ('Ip = "10.1.0.34"', 'Ip = "edge-1"', 'Self.Ip'),
            (
                '[Network]\n',
                '[Self.Limits]\nLinkMbps = 0\n[Network]\n',
                'Self.Limits.LinkMbps',
            ),
            ('10.1.0.37:8544', '10.1.0.37', 'Network.SeedNodes'),
            ('10.1.0.37:8544', '10.1.0.37:x', 'Network.SeedNodes'),
            ('10.1.0.37:8544', '10.1.0.37:99999', 'Network.SeedNodes'),
            ('[7540, 7555]', '[-1, 7555]', 'Network.InternalPortRange'),
            ('[7540, 7555]', '[7540, 75550]', 'Network.InternalPortRange'),
            ('10.1.0.34:8544', '10.1.0.34', 'BindAddresses.ControlPlane'),
        ]
    )
    def test_names_the_field(self, old, new, field):
        with self.assertRaises(PlatformSettingsError) as caught:
            load(_GOOD.replace(old, new))
        self.assertIn(field, str(caught.exception))

    def test_nested_too_deeply(self):
        """Guards against a process that ends as it reads changed settings."""
        with self.assertRaises(PlatformSettingsError):
            load(_GOOD + '\nX = ' + '[' * 10_000)

    @parameterized.expand(
        [
            ('control', True, []),
            (
                'entry',
                False,
                [
                    'Network.BindAddresses.Frontend: missing',
                    'Network.BindAddresses.Readiness: missing',
                ],
            ),
        ]
    )
    def test_names_the_addresses_that_a_role_lacks(
        self, _name, is_control, expected
    ):
        settings = load(_GOOD, is_control=is_control)
        self.assertEqual(list(find_missing_addresses(settings)), expected)
