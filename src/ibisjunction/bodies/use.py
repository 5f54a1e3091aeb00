"""Metrics of what callers hold of an entry VM."""

from collections.abc import Iterator
from dataclasses import dataclass, field

from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    Metric,
)

from ibisjunction.bodies.account import STAGES, BodyAccount, Cause
from ibisjunction.bodies.answers import AnswerCount
from ibisjunction.bodies.connections import ConnectionTable


@dataclass(frozen=True, slots=True)
class CallerUse:
    """What callers hold now, and what was dropped since the start.

    ``held_bytes`` is by stage, and ``drops`` by reason.
    """

    held_bytes: dict[str, int] = field(default_factory=dict)
    drops: dict[str, int] = field(default_factory=dict)
    room_bytes: int = 0
    connections: int = 0
    max_connections: int = 0


def read_use(
    account: BodyAccount, answers: AnswerCount, table: ConnectionTable
) -> CallerUse:
    """Return what callers hold now."""
    drops = {f'body {cause.value}': account.drops[cause] for cause in Cause}
    return CallerUse(
        {**account.count_by_stage(), 'answer': answers.budget.used},
        {
            **drops,
            'answer untaken': answers.drops,
            'connection displaced': table.displacements,
            'connection rejected': table.rejections,
        },
        account.limit,
        table.count,
        table.limit,
    )


def collect_caller_use(use: CallerUse) -> Iterator[Metric]:
    """Yield the metrics, for the exposition library."""
    held = GaugeMetricFamily(
        'ibisjunction_body_bytes',
        'Bytes of bodies that are held, by stage.',
        labels=('stage',),
    )
    for stage in (*STAGES, 'answer'):
        held.add_metric((stage,), use.held_bytes.get(stage, 0))
    yield held
    drops = CounterMetricFamily(
        'ibisjunction_caller_drops',
        'Bodies, answers and connections dropped for lack of room.',
        labels=('reason',),
    )
    for reason, count in sorted(use.drops.items()):
        drops.add_metric((reason,), count)
    yield drops
    for name, text, level in (
        ('body_room_bytes', 'Room for bodies and answers.', use.room_bytes),
        ('caller_connections', 'Connections of callers.', use.connections),
        (
            'caller_connection_limit',
            'Places for connections of callers.',
            use.max_connections,
        ),
    ):
        yield GaugeMetricFamily(f'ibisjunction_{name}', text, value=level)
