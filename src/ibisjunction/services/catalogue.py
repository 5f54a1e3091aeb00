"""Finds the service, operation and key of a request."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from urllib.parse import parse_qs, unquote, urlsplit

from ibisjunction.outcomes import Reason, Refused
from ibisjunction.services.keys import KeyPlace, KeySource, shard_of
from ibisjunction.services.spec import Operation, ServiceSpec


@dataclass(frozen=True, slots=True)
class RequestHead:
    """Method, target and headers of a request; header lookup ignores case."""

    method: str
    target: str
    headers: Mapping[str, str]


@dataclass(frozen=True, slots=True)
class RouteMatch:
    """The service, operation, key and shard of one request."""

    spec: ServiceSpec
    operation: Operation
    key: str
    shard: int


class ServiceCatalogue:
    """The services of one revision."""

    def __init__(self, specs: Iterable[ServiceSpec] = ()) -> None:
        """Index the services by name; the longest path prefix matches first."""
        self.specs = {spec.service: spec for spec in specs}
        self._by_prefix_length = sorted(
            self.specs.values(),
            key=lambda spec: len(spec.path_prefix),
            reverse=True,
        )

    def match(self, head: RequestHead) -> RouteMatch | Refused:
        """Return the route of a request, or a refusal if it has none."""
        url = urlsplit(head.target)
        spec = self._find_service(url.path)
        if spec is None:
            return Refused(Reason.UNKNOWN_SERVICE, f'path {url.path}')
        operation = _find_operation(spec, head)
        if operation is None:
            return Refused(
                Reason.UNKNOWN_OPERATION,
                f'service {spec.service}, method {head.method}',
            )
        path = url.path.removeprefix(spec.path_prefix)
        key = _extract_key(spec.key, path, url.query, head.headers)
        if not key:
            return Refused(Reason.MISSING_KEY, _describe_source(spec.key))
        return RouteMatch(spec, operation, key, shard_of(key, spec.shards))

    def _find_service(self, path: str) -> ServiceSpec | None:
        for spec in self._by_prefix_length:
            if path.startswith(spec.path_prefix):
                return spec
        return None


def _find_operation(spec: ServiceSpec, head: RequestHead) -> Operation | None:
    for operation in spec.operations:
        if _applies(operation, head):
            return operation
    return None


def _applies(operation: Operation, head: RequestHead) -> bool:
    if head.method not in operation.methods:
        return False
    if operation.header is None:
        return True
    return head.headers.get(operation.header) == operation.header_value


def _extract_key(
    source: KeySource,
    path: str,
    query: str,
    headers: Mapping[str, str],
) -> str:
    match source.place:
        case KeyPlace.PATH:
            segments = path.strip('/').split('/')
            if source.position >= len(segments):
                return ''
            return unquote(segments[source.position])
        case KeyPlace.HEADER:
            return headers.get(source.name, '')
        case KeyPlace.QUERY:
            return parse_qs(query).get(source.name, [''])[0]


def _describe_source(source: KeySource) -> str:
    match source.place:
        case KeyPlace.PATH:
            return f'expected in path segment {source.position} after prefix'
        case KeyPlace.HEADER:
            return f'expected in header {source.name}'
        case KeyPlace.QUERY:
            return f'expected in query argument {source.name}'
