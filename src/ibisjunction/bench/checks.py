"""Checks of the invariants over the records of one experiment.

Each check is a pure function from :class:`ExperimentRecords` to violations.
A result without violations holds for these records only.
"""

from collections.abc import Callable, Iterable
from types import MappingProxyType
from typing import Final

from ibisjunction.bench.experiment_records import ExperimentRecords
from ibisjunction.bench.ownership_checks import (
    check_drains,
    check_fence_order,
    check_overlap,
)
from ibisjunction.bench.publication_checks import (
    check_in_force,
    check_publications,
    check_reverted,
)
from ibisjunction.bench.request_checks import (
    check_answers,
    check_at_most_once,
    check_refusals,
)
from ibisjunction.bench.shutdown_checks import check_shutdowns
from ibisjunction.bench.violations import Violation

Check = Callable[[ExperimentRecords], Iterable[Violation]]

CHECKS: Final[MappingProxyType[str, Check]] = MappingProxyType(
    {
        'fence order': check_fence_order,
        'overlap': check_overlap,
        'at most once': check_at_most_once,
        'whole and own answers': check_answers,
        'true refusals': check_refusals,
        'drain': check_drains,
        'graceful shutdown': check_shutdowns,
        'publications': check_publications,
        'in force': check_in_force,
        'never reverted': check_reverted,
    }
)


def find_violations(records: ExperimentRecords) -> list[Violation]:
    """Return the violations that all checks find."""
    return [
        violation for check in CHECKS.values() for violation in check(records)
    ]
