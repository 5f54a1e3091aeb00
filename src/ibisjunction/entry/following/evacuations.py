"""Evacuated failure domains, as one entry VM knows them."""

from collections.abc import Iterable
from typing import Final

#: Part of the bound of an evacuation for which a VM still sends to the owners
#: of keys in the failure domain, so that keys move with a hand-over. The rest
#: is left for a VM that learns of the evacuation late.
_SEND_PART: Final = 0.4


class EvacuatedDomains:
    """Decides whether requests may be sent to upstreams of failure domains."""

    def __init__(self, evacuation_ms: int) -> None:
        """Start without evacuations.

        :param evacuation_ms: time in which a confirmed evacuation is in force.
        """
        self._send_ms = round(evacuation_ms * _SEND_PART)
        self._known_since_ms: dict[str, int] = {}

    def update(
        self, evacuated: Iterable[str], now: int
    ) -> tuple[frozenset[str], frozenset[str]]:
        """Replace the evacuated failure domains.

        :return: those that are new, and those that are no longer evacuated.
        """
        domains = frozenset(evacuated)
        added = domains - self._known_since_ms.keys()
        removed = self._known_since_ms.keys() - domains
        for domain in added:
            self._known_since_ms[domain] = now
        for domain in removed:
            self._known_since_ms.pop(domain)
        return added, frozenset(removed)

    def may_send(self, failure_domain: str, now: int) -> bool:
        """Return whether requests may be sent to a failure domain.

        They still are for a short time after this VM has learned of an
        evacuation: a key is served by its owner until the leader releases it.
        """
        since_ms = self._known_since_ms.get(failure_domain)
        return since_ms is None or now < since_ms + self._send_ms
