"""Runs all tests and compares the failures with ``KNOWN-RED.txt``.

An entry of that file starts with a line ``test: <id>``. The run fails if a
test without an entry fails, or if the test of an entry passes or does not run.
It also fails if an object that a test left open raises an error when it is
destroyed.
"""

import contextlib
import gc
import logging
import re
import sys
import unittest
from collections.abc import Iterator
from pathlib import Path
from typing import Any, Final

_ROOT: Final = Path(__file__).parent.parent
_KNOWN_RED: Final = _ROOT / 'KNOWN-RED.txt'


def read_known_red(path: Path) -> set[str]:
    """Return the test ids that the file lists."""
    if not path.exists():
        return set()
    return set(re.findall(r'^test:\s*(\S+)', path.read_text(), re.MULTILINE))


def find_disagreements(
    known_red: set[str],
    failed: set[str],
    run: set[str],
) -> list[str]:
    """Return a line for each test whose result differs from the file."""
    return [
        *(f'not in KNOWN-RED.txt: {name}' for name in failed - known_red),
        *(f'listed but passes: {name}' for name in (known_red & run) - failed),
        *(f'listed but not run: {name}' for name in known_red - run),
    ]


@contextlib.contextmanager
def record_destructor_errors() -> Iterator[list[str]]:
    """Yield a list that gets the errors of objects that are destroyed."""
    errors: list[str] = []
    previous_hook = sys.unraisablehook

    def record(unraisable: Any) -> None:
        errors.append(f'{unraisable.exc_value!r} in {unraisable.object!r}')

    sys.unraisablehook = record
    try:
        yield errors
    finally:
        gc.collect()
        sys.unraisablehook = previous_hook


class _Recorder(unittest.TextTestResult):
    """Records the ids of all tests and of those that failed."""

    def __init__(self, *arguments, **options) -> None:
        super().__init__(*arguments, **options)
        self.run_ids: set[str] = set()
        self.failed_ids: set[str] = set()

    def startTest(self, test: unittest.TestCase) -> None:  # noqa: N802
        super().startTest(test)
        self.run_ids.add(test.id())

    def addFailure(self, test: unittest.TestCase, err) -> None:  # noqa: N802
        super().addFailure(test, err)
        self.failed_ids.add(test.id())

    def addError(self, test: unittest.TestCase, err) -> None:  # noqa: N802
        super().addError(test, err)
        self.failed_ids.add(test.id())

    def addSubTest(self, test, subtest, err) -> None:  # noqa: N802
        super().addSubTest(test, subtest, err)
        if err is not None:
            self.failed_ids.add(test.id())


def main(test_names: list[str]) -> int:
    """Run the tests with these names, or all, and return the exit code."""
    # Without a handler, logging would print warnings between the results.
    logging.getLogger('ibisjunction').addHandler(logging.NullHandler())
    loader = unittest.TestLoader()
    if test_names:
        suite = loader.loadTestsFromNames(test_names)
    else:
        suite = loader.discover(str(_ROOT / 'tests'), top_level_dir=str(_ROOT))
    runner = unittest.TextTestRunner(resultclass=_Recorder, verbosity=1)
    with record_destructor_errors() as destructor_errors:
        recorder = runner.run(suite)
    known_red = read_known_red(_KNOWN_RED)
    if test_names:
        known_red &= recorder.run_ids
    for test_id in sorted(known_red):
        sys.stdout.write(f'known red: {test_id}\n')
    disagreements = find_disagreements(
        known_red,
        recorder.failed_ids,
        recorder.run_ids,
    )
    disagreements += [
        f'left open by a test: {error}' for error in destructor_errors
    ]
    for line in sorted(disagreements):
        sys.stdout.write(f'{line}\n')
    failed = len(recorder.failed_ids)
    passed = len(recorder.run_ids) - failed
    sys.stdout.write(f'{passed} passed, {failed} failed\n')
    return 1 if disagreements else 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
