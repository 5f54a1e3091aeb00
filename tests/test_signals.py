"""Tests of signals that arrive while a process of the platform starts."""

import contextlib
import os
import signal
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

from parameterized import parameterized

_EXIT_BAD_SETTINGS = 1


class StartSignalTest(unittest.TestCase):
    """Guards against a reload that ends a process before it handles signals.

    The default action of SIGHUP ends a process. A process that was restarted
    shortly before the operator reloaded all settings ended a second time.
    """

    @parameterized.expand(
        [
            ('entry', 'SIGHUP', _EXIT_BAD_SETTINGS),
            ('control', 'SIGHUP', _EXIT_BAD_SETTINGS),
            ('entry', 'SIGTERM', -15),
        ]
    )
    def test_signal_while_settings_are_read(self, role, name, exit_code):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder, 'settings.toml')
            os.mkfifo(path)
            process = subprocess.Popen(
                [sys.executable, '-m', 'ibisjunction.platform', role],
                env={**os.environ, 'IBISJUNCTION_SETTINGS': str(path)},
                stderr=subprocess.DEVNULL,
                stdout=subprocess.DEVNULL,
            )
            # Opening waits until the process reads its settings.
            with (
                contextlib.suppress(BrokenPipeError),
                path.open('w') as settings,
            ):
                process.send_signal(getattr(signal, name))
                settings.write('not valid')
            self.assertEqual(process.wait(), exit_code)


if __name__ == '__main__':
    unittest.main()
