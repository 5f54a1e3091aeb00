"""Tests of the checks of the platform's files."""

import io
import unittest
from contextlib import redirect_stderr
from pathlib import Path
from tempfile import TemporaryDirectory

from parameterized import parameterized

from ibisjunction.platform.checks import check_files

_DEPLOY = """
build = "true"
[roles.entry]
run = "python3 -m x entry"
on = "edge"
share = 1.0
serves = ["edge"]
metrics = "9464/metrics"
[roles.control]
run = "python3 -m x control"
on = "core"
count = 1
serves = ["control"]
"""
_SETTINGS = """
[Self]
Ip = "10.1.0.34"
Zone = "z"
[Network]
InternalPortRange = [7540, 7555]
SeedNodes = ["10.1.0.37:8544"]
[Network.BindAddresses]
Frontend = "10.1.0.34:80"
"""


def check(name, text):
    """Return the exit code and the printed text of a check of one file."""
    printed = io.StringIO()
    with TemporaryDirectory() as folder, redirect_stderr(printed):
        path = Path(folder) / 'file.toml'
        path.write_text(text)
        return check_files(name, [str(path)]), printed.getvalue()


class CheckTest(unittest.TestCase):
    """Guards against mistakes in files that appear only after deployment."""

    @parameterized.expand(
        [
            ('check-deploy', _DEPLOY),
            ('check-settings', _SETTINGS),
            ('check-deploy', Path('deploy/system.toml').read_text()),
        ]
    )
    def test_good(self, name, text):
        self.assertEqual(check(name, text), (0, ''))

    @parameterized.expand(
        [
            ('on = "core"', 'on = "x"', 'roles.control.on'),
            ('count = 1', '', 'set either share or count'),
            ('share = 1.0', 'share = 1.5', 'roles.entry.share'),
            ('"control"]', '"edge"]', 'none serves control'),
            ('on = "core"', 'on = "edge"\nserve = 1', 'roles.control.serve'),
            ('"9464/metrics"', '"metrics"', 'roles.entry.metrics'),
            ('build = "true"', '', 'build: missing'),
            ('[roles.entry]', '[roles.entry', 'file.toml'),
        ]
    )
    def test_wrong_deploy_file(self, text, changed, expected):
        code, printed = check('check-deploy', _DEPLOY.replace(text, changed))
        self.assertEqual(code, 1)
        self.assertIn(expected, printed)

    def test_two_roles_that_serve_the_same(self):
        changed = _DEPLOY.replace('on = "core"', 'on = "edge"')
        changed = changed.replace('"control"]', '"edge", "control"]')
        _, printed = check('check-deploy', changed)
        self.assertIn('2 roles on edge serve edge', printed)

    def test_wrong_settings(self):
        code, printed = check('check-settings', _SETTINGS.replace('Ip', 'Ib'))
        self.assertEqual(code, 1)
        self.assertIn('Self.Ip: missing', printed)

    def test_no_file(self):
        with redirect_stderr(io.StringIO()):
            self.assertEqual(check_files('check-deploy', []), 2)


if __name__ == '__main__':
    unittest.main()
