"""Comparison with golden files in ``tests/golden``.

A text that differs is written to ``<name>.received.txt`` next to its golden
file ``<name>.approved.txt``.
"""

from pathlib import Path

from approvaltests import Options, verify
from approvaltests.namer.cli_namer import CliNamer
from approvaltests.reporters import PythonNativeReporter

_FOLDER = Path(__file__).parent / 'golden'


def verify_golden(name: str, text: str) -> None:
    """Fail unless the text equals the golden file of that name."""
    options = (
        Options()
        .with_reporter(PythonNativeReporter())
        .with_namer(CliNamer(str(_FOLDER / name)))
    )
    verify(text, options=options)
