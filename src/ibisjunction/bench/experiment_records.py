"""Everything one run of a scenario leaves for the checks."""

from dataclasses import dataclass

import msgspec

from ibisjunction.bench.request_records import RequestRecord
from ibisjunction.bench.run_records import DrainStarted, Run


class ActionRecord(msgspec.Struct, frozen=True):
    """An action that was performed; ``exit_code`` is of a process it ended."""

    action: str
    target: str
    started_ms: int
    ended_ms: int
    exit_code: int | None = None


class PublicationRecord(msgspec.Struct, frozen=True):
    """One call to publish; ``revision`` is 0 unless it was accepted."""

    vm: str
    publication_id: str
    base_revision: int
    status: int
    sent_ms: int
    ended_ms: int
    revision: int = 0


class InForceRecord(msgspec.Struct, frozen=True):
    """When a VM first reported a revision; revision 0 means never."""

    vm: str
    revision: int
    at_ms: int


@dataclass(frozen=True, slots=True)
class ExperimentRecords:
    """Records of one run of a scenario on one deployment."""

    requests: tuple[RequestRecord, ...] = ()
    runs: tuple[Run, ...] = ()
    drains: tuple[DrainStarted, ...] = ()
    actions: tuple[ActionRecord, ...] = ()
    publications: tuple[PublicationRecord, ...] = ()
    in_force: tuple[InForceRecord, ...] = ()
