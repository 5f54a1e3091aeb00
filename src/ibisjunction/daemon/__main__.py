"""Lets ``python -m ibisjunction.daemon`` run the daemon."""

import sys

from ibisjunction.daemon.command import main

sys.exit(main())
