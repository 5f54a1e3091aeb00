"""Tests of the check that reports every mistake."""

import unittest
from typing import Annotated

import msgspec
from parameterized import parameterized

from ibisjunction.validation import find_mistakes


class _Part(msgspec.Struct):
    size: Annotated[int, msgspec.Meta(gt=0)]
    label: str = ''


class _Whole(msgspec.Struct):
    name: str
    parts: list[_Part] = []
    by_name: dict[str, _Part] = {}
    extra: _Part | None = None


class FindMistakesTest(unittest.TestCase):
    """Guards against a check that stops at the first mistake."""

    @parameterized.expand(
        [
            ('valid', {'name': 'a', 'parts': [{'size': 1}]}, []),
            ('missing', {}, ['name']),
            ('wrong type', {'name': 1}, ['name']),
            ('unknown', {'name': 'a', 'nmae': 'a'}, ['nmae']),
            (
                'in list',
                {'name': 'a', 'parts': [{'size': 1}, {'size': 0, 'x': 1}]},
                ['parts[1].x', 'parts[1].size'],
            ),
            (
                'in mapping',
                {'name': 'a', 'by_name': {'k': {'label': 2}}},
                ['by_name.k.size', 'by_name.k.label'],
            ),
            ('optional', {'name': 'a', 'extra': {}}, ['extra.size']),
            ('not a list', {'name': 'a', 'parts': 3}, ['parts']),
            ('not a mapping', 3, ['']),
        ]
    )
    def test_names_each_key(self, _name, raw, expected):
        found = [line.split(':')[0] for line in find_mistakes(raw, _Whole)]
        self.assertCountEqual(found, expected)
