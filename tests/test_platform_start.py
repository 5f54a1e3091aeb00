"""Tests of the start of a process on the platform."""

import os
import signal
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

from parameterized import parameterized


class SignalTest(unittest.TestCase):
    """Guards against a process that a changed settings file ends.

    The process had no handler for the signal until it had started its tasks.
    """

    @parameterized.expand([('entry',), ('control',)])
    def test_settings_change_during_the_start(self, role):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / 'settings.toml'
            os.mkfifo(path)
            process = subprocess.Popen(  # noqa: S603
                [sys.executable, '-m', 'ibisjunction.platform', role],
                env={**os.environ, 'IBISJUNCTION_SETTINGS': str(path)},
                stderr=subprocess.PIPE,
            )
            # Opening the file waits until the process reads its settings.
            with process, path.open('w') as settings:
                process.send_signal(signal.SIGHUP)
                settings.write('not valid')
                settings.close()
                _, errors = process.communicate()
        self.assertEqual(process.returncode, 1, errors)


if __name__ == '__main__':
    unittest.main()
