"""Tests of the comparison with KNOWN-RED.txt."""

import unittest
import weakref

from parameterized import parameterized

from tests.runner import find_disagreements, record_destructor_errors


class FindDisagreementsTest(unittest.TestCase):
    """Guards against failures and stale entries that CI does not report."""

    @parameterized.expand(
        [
            ('all as listed', {'a'}, {'a'}, {'a', 'b'}, []),
            (
                'failure without an entry',
                set(),
                {'a'},
                {'a'},
                ['not in KNOWN-RED.txt: a'],
            ),
            (
                'pass with an entry',
                {'a'},
                set(),
                {'a'},
                ['listed but passes: a'],
            ),
            (
                'entry of a test not run',
                {'a'},
                set(),
                {'b'},
                ['listed but not run: a'],
            ),
        ]
    )
    def test_lines(self, _name, known_red, failed, run, expected):
        self.assertEqual(find_disagreements(known_red, failed, run), expected)


class DestructorErrorTest(unittest.TestCase):
    """Guards against streams that a test leaves open.

    Two streams of `test_peers` failed to close after their event loop, and CI
    passed over it.
    """

    @parameterized.expand([('fails', True, 1), ('succeeds', False, 0)])
    def test_error_is_recorded(self, _name, fails, count):
        with record_destructor_errors() as errors:
            _destroy_stream(fails=fails)
        self.assertEqual(len(errors), count)


class _Stream:
    """Something that is closed when it is destroyed."""


def _destroy_stream(*, fails) -> None:
    def close(_reference):
        if fails:
            raise RuntimeError('Event loop is closed')

    stream = _Stream()
    # The reference has to outlive the stream for its callback to be called.
    _REFERENCES.append(weakref.ref(stream, close))


_REFERENCES: list[weakref.ref] = []
