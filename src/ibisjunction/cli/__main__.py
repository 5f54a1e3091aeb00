"""Lets ``python -m ibisjunction.cli`` run the command line."""

import sys

from ibisjunction.cli.command import main

sys.exit(main())
