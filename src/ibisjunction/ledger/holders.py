"""Chooses the VMs that hold a record."""

from collections.abc import Mapping
from typing import Final

import xxhash

from ibisjunction.control.records import VmRecord
from ibisjunction.ledger.messages import Holder

#: Copies of a record: with 3, any 2 that confirm it overlap with any other 2.
COPIES: Final = 3


def choose_holders(
    key: str,
    vms: Mapping[str, VmRecord],
) -> tuple[Holder, ...]:
    """Return up to 3 holders by rendezvous hashing.

    They are in distinct failure domains if the VMs span at least 3. A VM that
    joins becomes a holder for some keys, and makes no other VM a holder.
    """
    ranked = sorted(
        vms.values(),
        key=lambda record: (_score(key, record.vm), record.vm),
    )
    chosen: dict[str, VmRecord] = {}
    domains: set[str] = set()
    for record in ranked:
        if record.failure_domain not in domains:
            domains.add(record.failure_domain)
            chosen[record.vm] = record
    if len(chosen) < COPIES:
        chosen.update((record.vm, record) for record in ranked)
    return tuple(
        Holder(record.vm, record.incarnation)
        for record in tuple(chosen.values())[:COPIES]
    )


def quorum_of(holders: tuple[Holder, ...]) -> int:
    """Return how many holders must keep a record before its request runs."""
    return len(holders) // 2 + 1


def _score(key: str, vm: str) -> int:
    return xxhash.xxh3_64_intdigest(f'{vm}/{key}'.encode())
