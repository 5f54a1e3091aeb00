"""Builds the requests that are sent to upstreams."""

from ibisjunction.entry.model import HeaderNames, RoutedRequest
from ibisjunction.entry.serving.attempts import HOP_BY_HOP_HEADERS
from ibisjunction.entry.upstream_calls.exchange import UpstreamRequest
from ibisjunction.fleet.model import Upstream


def make_upstream_request(
    routed: RoutedRequest,
    upstream: Upstream,
    names: HeaderNames,
    remaining_ms: int,
) -> UpstreamRequest:
    """Return the request to send to an upstream for a caller's request.

    Hop-by-hop headers are removed, and the headers of this system are set.

    :param remaining_ms: time after which the upstream may stop.
    """
    request = routed.request
    removed = {
        names.deadline.lower(),
        names.expected_upstream.lower(),
        'content-length',
        'expect',
    }
    options = ','.join(
        text for name, text in request.headers if name.lower() == 'connection'
    )
    connection_headers = {
        option.strip().lower() for option in options.split(',')
    }
    headers = [
        (name, text)
        for name, text in request.headers
        if name.lower() not in removed | HOP_BY_HOP_HEADERS | connection_headers
    ]
    headers.append((names.deadline, str(max(1, remaining_ms))))
    headers.append((names.expected_upstream, upstream.upstream))
    if request.has_body:
        headers.append(('Content-Length', str(len(request.body))))
    return UpstreamRequest(
        request.method,
        request.target,
        tuple(headers),
        request.body,
    )
