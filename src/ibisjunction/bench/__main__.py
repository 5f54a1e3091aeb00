"""Lets ``python -m ibisjunction.bench`` run the load tool."""

import sys

from ibisjunction.bench.command import main

sys.exit(main())
