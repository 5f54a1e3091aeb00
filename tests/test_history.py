"""Tests of the history of a request from saved logs."""

import json
import tempfile
import unittest
from pathlib import Path

from ibisjunction.cli.history import (
    find_history,
    read_logs,
    restore_decision_times,
)


def make_line(time_s, event, **fields):
    """Return a line in the format of the logs."""
    line = {'time': f'{time_s:.3f}', 'level': 'INFO', 'event': event}
    return json.dumps({**line, 'text': 'x', **fields})


class HistoryTest(unittest.TestCase):
    """Guards against a history ordered by the time of writing.

    A process writes the lines of a request together after its last decision,
    later than events of other processes that came between the decisions. The
    history leaves out other requests, events long before the request, and
    events such as 209 that neither name it nor belong to its context.
    """

    def test_order_across_processes(self):
        with tempfile.TemporaryDirectory() as folder:
            entry = Path(folder) / 'entry.log'
            control = Path(folder) / 'control.log'
            entry.write_text(
                '\n'.join(
                    (
                        make_line(10, 609, request='r', after_ms=100),
                        make_line(10, 604, request='r', after_ms=900),
                        make_line(10, 604, request='other', after_ms=1),
                        'Traceback: not an event',
                    ),
                ),
            )
            control.write_text(
                '\n'.join(
                    (
                        make_line(1, 202),
                        make_line(9.5, 202),
                        make_line(9.6, 209),
                    ),
                ),
            )
            lines = restore_decision_times(list(read_logs([entry, control])))
        history = find_history(lines, 'r')
        self.assertEqual(
            [(line.at_s, line.fields['event']) for line in history],
            [(9.2, 609), (9.5, 202), (10, 604)],
        )
        self.assertEqual(find_history(lines, 'unknown'), [])
