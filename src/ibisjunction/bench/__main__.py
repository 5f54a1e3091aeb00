"""Runs the ``ibisjunction-bench`` command line."""

import sys

from ibisjunction.bench.command import main

sys.exit(main())
