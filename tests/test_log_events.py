"""Compares the numbered events with their catalogue."""

import re
import unittest
from pathlib import Path

from ibisjunction.events import Event

_CATALOGUE = Path(__file__).parent.parent / 'docs' / 'log-events.md'


class CatalogueTest(unittest.TestCase):
    """Guards against an event that operators cannot look up."""

    def test_catalogue_lists_each_event(self):
        rows = re.findall(
            r'^\| E(\d+) \| ([^|]+) \|',
            _CATALOGUE.read_text(),
            re.MULTILINE,
        )
        listed = {(int(number), text.strip()) for number, text in rows}
        defined = {(event.number, event.summary) for event in Event}
        self.assertEqual(listed, defined)

    def test_numbers_are_unique(self):
        numbers = [event.number for event in Event]
        self.assertEqual(len(numbers), len(set(numbers)))
