"""Checks the examples that the documentation refers to."""

import unittest
from pathlib import Path

from ibisjunction.settings import load_settings

_EXAMPLES = Path(__file__).parent.parent / 'examples'


class ExamplesTest(unittest.TestCase):
    """Guards against examples that no longer work."""

    def test_settings(self):
        settings = load_settings(_EXAMPLES / 'vm.toml')
        self.assertEqual(settings.timing.vm_lease_ms, 600)
