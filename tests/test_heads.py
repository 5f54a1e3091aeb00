"""Tests of the checks on the head of a request."""

import unittest

from parameterized import parameterized
from tornado.httputil import HTTPHeaders, RequestStartLine

from ibisjunction.heads import (
    find_head_error,
    has_conflicting_values,
    parse_number,
)
from ibisjunction.settings.loader import is_address


def make_headers(*fields):
    """Return headers built from pairs of name and value."""
    headers = HTTPHeaders()
    for name, text in fields:
        headers.add(name, text)
    return headers


class HeadTest(unittest.TestCase):
    """Guards against requests that run although their head is not valid."""

    @parameterized.expand(
        [
            ('fine', '1.1', (('Host', 'x'),), None),
            ('no host', '1.1', (), 400),
            ('no host, HTTP/1.0', '1.0', (), None),
            ('two hosts', '1.1', (('Host', 'x'), ('Host', 'x')), 400),
            ('large', '1.1', (('Host', 'x'), ('A', 'y' * 300)), 431),
        ]
    )
    def test_fault(self, _name, version, fields, status):
        line = RequestStartLine('GET', '/', f'HTTP/{version}')
        error = find_head_error(line, make_headers(*fields), 200)
        self.assertEqual(error and error.status, status)

    # Upstreams got paths in which such bytes were encoded as UTF-8.
    @parameterized.expand(
        [
            ('encoded', '/caf%E9', None),
            ('path', '/caf\xe9', 400),
            ('query', '/?q=\xc3\xa9', 400),
        ]
    )
    def test_target_that_is_not_ascii(self, _name, target, status):
        line = RequestStartLine('GET', target, 'HTTP/1.1')
        error = find_head_error(line, make_headers(('Host', 'x')), 200)
        self.assertEqual(error and error.status, status)

    @parameterized.expand(
        [
            ('once', ('a',), False),
            ('equal', ('a', 'a'), False),
            ('different', ('a', 'b'), True),
        ]
    )
    def test_conflicting_values(self, _name, texts, expected):
        headers = make_headers(*(('Key', text) for text in texts))
        self.assertEqual(has_conflicting_values(headers, 'Key'), expected)


class NumberTest(unittest.TestCase):
    """Guards against a request without an answer after a header of digits.

    Converting a header of 5,000 digits raised in the task of the request, for a
    caller's deadline as well as for an upstream's keep-alive time.
    """

    @parameterized.expand(
        [
            ('0', 0),
            (' 1500 ', 1500),
            (None, None),
            ('', None),
            ('-1', None),
            ('1.5', None),
            ('9' * 15, 999_999_999_999_999),
            ('9' * 16, None),
            ('9' * 5000, None),
        ]
    )
    def test_parse(self, text, expected):
        self.assertEqual(parse_number(text), expected)

    @parameterized.expand(
        [
            ('10.0.0.1:80', True),
            ('10.0.0.1:65535', True),
            ('10.0.0.1:65536', False),
            ('10.0.0.1:' + '9' * 5000, False),
        ]
    )
    def test_port(self, text, expected):
        self.assertEqual(is_address(text), expected)
