"""Starts one process on the platform: ``python -m ibisjunction.platform ROLE``.

``ROLE`` is ``entry`` or ``control``. The commands ``check-settings FILE...``
and ``check-deploy FILE...`` start no process; they print all mistakes in
settings files and deploy files.
"""

import signal
import sys


def main() -> int:
    """Run the role that the first argument names; return the exit code."""
    # The signal that the settings changed ends a process by default. The file
    # is polled as well, so a change is not lost.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    # The imports take most of the time of a start.
    from ibisjunction.platform.roles import run

    return run()


if __name__ == '__main__':
    sys.exit(main())
