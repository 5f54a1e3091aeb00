"""Records of one experiment, the input of checks and reports."""

from dataclasses import dataclass

import msgspec

from ibisjunction.bench.request_records import RequestRecord
from ibisjunction.bench.run_records import DrainStarted, Run


class ActionRecord(msgspec.Struct, frozen=True):
    """An action that was run, with the exit code if it ended a process."""

    action: str
    target: str
    started_ms: int
    ended_ms: int
    exit_code: int | None = None


class PublicationRecord(msgspec.Struct, frozen=True):
    """One publish call; ``revision`` is 0 unless it was accepted."""

    vm: str
    publication_id: str
    base_revision: int
    status: int
    sent_ms: int
    ended_ms: int
    revision: int = 0


class InForceRecord(msgspec.Struct, frozen=True):
    """When a VM first reported a revision or a newer one.

    Revision 0 means that the VM did not report it before the timeout.
    """

    vm: str
    revision: int
    at_ms: int


@dataclass(frozen=True, slots=True)
class ExperimentRecords:
    """Records of one scenario on one deployment."""

    requests: tuple[RequestRecord, ...] = ()
    runs: tuple[Run, ...] = ()
    drains: tuple[DrainStarted, ...] = ()
    actions: tuple[ActionRecord, ...] = ()
    publications: tuple[PublicationRecord, ...] = ()
    in_force: tuple[InForceRecord, ...] = ()
