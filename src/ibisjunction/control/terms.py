"""Terms that clients reached by renewals, as part of the control state.

A client's level is the higher of the level that operators published for it and
the level it reached by renewals. The terms of a level are always read from the
current revision, so newly published terms apply at once.
"""

from collections.abc import Mapping
from dataclasses import dataclass, replace
from typing import Final

from ibisjunction.services.collection import parse_cached
from ibisjunction.services.spec import ServiceSpec

#: Renewal ids stored per client to detect resends; a resend arrives within
#: minutes and renewals are at least days apart.
_MAX_RENEWAL_IDS: Final = 16


@dataclass(frozen=True, slots=True)
class ClientTerms:
    """The level a client reached by renewals.

    ``renewals`` holds the ids of the last renewals, the newest last.
    """

    level: int
    renewals: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Renewal:
    """A client's renewal of its terms; a resend has the same ``renewal_id``."""

    service: str
    client: str
    renewal_id: str


#: Terms of the clients of one service, keyed by client.
ServiceTerms = Mapping[str, ClientTerms]


def find_spec(files: Mapping[str, str], service: str) -> ServiceSpec | None:
    """Return the specification of a service in the files of a revision."""
    for name, text in files.items():
        spec = parse_cached(text, name)
        if spec.service == service:
            return spec
    return None


def level_of(
    spec: ServiceSpec, service_terms: ServiceTerms, client: str
) -> int:
    """Return the level of a client, at most the highest of the service."""
    published = spec.client_levels.get(client, 0)
    reached = service_terms[client].level if client in service_terms else 0
    return min(max(published, reached), len(spec.terms) - 1)


def apply_renewal(
    spec: ServiceSpec,
    service_terms: ServiceTerms,
    renewal: Renewal,
    fleet_slots: int,
) -> ClientTerms:
    """Return the client's terms after a renewal.

    The level rises by one unless it is the highest, the renewal is a resend,
    or the slots reserved for all clients would exceed ``fleet_slots``.
    """
    client_terms = service_terms.get(renewal.client, ClientTerms(0))
    if renewal.renewal_id in client_terms.renewals:
        return client_terms
    level = level_of(spec, service_terms, renewal.client)
    new_level = min(level + 1, len(spec.terms) - 1)
    candidate = replace(client_terms, level=new_level)
    reserved_slots = sum_reserved_slots(
        spec, {**service_terms, renewal.client: candidate}
    )
    if reserved_slots > fleet_slots:
        new_level = level
    renewals = (*client_terms.renewals, renewal.renewal_id)[-_MAX_RENEWAL_IDS:]
    return ClientTerms(new_level, renewals)


def sum_reserved_slots(spec: ServiceSpec, service_terms: ServiceTerms) -> float:
    """Return the slots reserved for all clients at their levels."""
    clients = {*service_terms, *spec.client_levels}
    levels = (level_of(spec, service_terms, client) for client in clients)
    return sum(spec.terms[level].reserved_slots for level in levels)
