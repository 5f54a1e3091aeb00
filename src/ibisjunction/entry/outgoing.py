"""Requests as they are sent to upstreams."""

from ibisjunction.entry.attempts import HOP_HEADERS
from ibisjunction.entry.exchange import Message
from ibisjunction.entry.model import HeaderNames, RoutedRequest
from ibisjunction.fleet.model import Upstream


def make_message(
    routed: RoutedRequest,
    upstream: Upstream,
    names: HeaderNames,
    now: int,
) -> Message:
    """Return a caller's request with the headers that this system sets.

    Headers that concern only the caller's connection are left out.
    """
    request = routed.request
    replaced = {
        names.deadline.lower(),
        names.expected_upstream.lower(),
        'content-length',
        'expect',
    }
    options = ','.join(
        text for name, text in request.headers if name.lower() == 'connection'
    )
    named = {option.strip().lower() for option in options.split(',')}
    headers = [
        (name, text)
        for name, text in request.headers
        if name.lower() not in replaced | HOP_HEADERS | named
    ]
    left_ms = max(1, routed.give_up_ms - now)
    headers.append((names.deadline, str(left_ms)))
    headers.append((names.expected_upstream, upstream.upstream))
    if request.has_body:
        headers.append(('Content-Length', str(len(request.body))))
    return Message(
        request.method,
        request.target,
        tuple(headers),
        request.body,
    )
