"""Starts one process on the platform: ``python -m ibisjunction.platform ROLE``.

``ROLE`` is ``entry`` or ``control``. The commands ``check-settings FILE...``
and ``check-deploy FILE...`` start no process; they print all mistakes in
settings files and deploy files.
"""

import signal
import sys


def main() -> int:
    """Run the program; return its exit code."""
    # The default action of SIGHUP ends a process. Importing the program takes
    # most of its start, and only the program handles the signal.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from ibisjunction.platform.program import run_program

    return run_program(sys.argv[1:])


if __name__ == '__main__':
    sys.exit(main())
