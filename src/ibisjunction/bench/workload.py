"""Maps the three kinds of requests to the services of each profile."""

from dataclasses import dataclass
from types import MappingProxyType
from typing import Final

from ibisjunction.bench.arrivals import Arrival
from ibisjunction.bench.caller import Call
from ibisjunction.bench.request_records import Kind
from ibisjunction.services.catalogue import (
    RequestHead,
    RouteMatch,
    ServiceCatalogue,
)
from ibisjunction.services.collection import parse_collection

_SMALL_ANSWER_BYTES: Final = 128
_BODY: Final = b'content of a form\n'


@dataclass(frozen=True, slots=True)
class Workload:
    """Services and clients of one profile, and the slots of each upstream.

    ``purpose`` is the header value that makes a request urgent.
    """

    profile: str
    services: dict[Kind, str]
    clients: tuple[str, ...]
    purpose: str
    slots: int


WORKLOADS: Final = MappingProxyType(
    {
        'consorcio': Workload(
            profile='consorcio',
            services={
                Kind.READS: 'mail-log',
                Kind.WRITES: 'contracts',
                Kind.DOWNLOADS: 'documents',
            },
            clients=('tenant-a', 'notary-b', 'courier-c', 'client-d'),
            purpose='tax-deadline',
            slots=3,
        ),
        'guild': Workload(
            profile='guild',
            services={
                Kind.READS: 'motions',
                Kind.WRITES: 'registrations',
                Kind.DOWNLOADS: 'packs',
            },
            clients=('club-a', 'desk-b', 'adjudicator-c', 'club-d'),
            purpose='round',
            slots=4,
        ),
    }
)


@dataclass(frozen=True, slots=True)
class PlannedCall:
    """A request ready to be sent, its route and the expected answer length."""

    call: Call
    route: RouteMatch
    idempotency_key: str
    expected_bytes: int


class CallBuilder:
    """Turns arrivals into calls.

    Each target is used once, so that an answer to another request is detected.
    """

    def __init__(
        self,
        workload: Workload,
        files: dict[str, str],
        download_bytes: int,
        seed: int,
    ) -> None:
        """Parse the service files that will be published.

        They determine the route of each call.
        """
        self._workload = workload
        self._catalogue = ServiceCatalogue(parse_collection(files))
        self._download_bytes = download_bytes
        self._seed = seed

    def build(self, arrival: Arrival) -> PlannedCall:
        """Return the call of an arrival."""
        kind = arrival.stream.kind
        service = self._workload.services[kind]
        method = 'POST' if kind is Kind.WRITES else 'GET'
        target = f'/{service}/{arrival.key}/r-{arrival.number}'
        headers = {'Ibis-Client': arrival.client}
        if arrival.stream.urgent:
            headers['Purpose'] = self._workload.purpose
        idempotency_key = ''
        if kind is Kind.WRITES:
            idempotency_key = f'{self._seed}-{arrival.number}'
            headers['Idempotency-Key'] = idempotency_key
        route = self._catalogue.match(RequestHead(method, target, headers))
        if not isinstance(route, RouteMatch):
            raise TypeError(f'no route for {target}: {route}')
        return PlannedCall(
            Call(method, target, headers, _BODY if idempotency_key else b''),
            route,
            idempotency_key,
            self.answer_bytes(kind),
        )

    def answer_bytes(self, kind: Kind) -> int:
        """Return the length of the answers to a kind of request."""
        if kind is Kind.DOWNLOADS:
            return self._download_bytes
        return _SMALL_ANSWER_BYTES
