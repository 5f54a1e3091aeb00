"""All measured costs, with access by name."""

from dataclasses import dataclass

from ibisjunction.bench.capacity.control_costs import (
    measure_control_cpu,
    measure_parsing,
    measure_publication,
    measure_state_size,
)
from ibisjunction.bench.capacity.fit import Fit
from ibisjunction.bench.capacity.ledger_costs import measure_records
from ibisjunction.bench.capacity.link_costs import measure_links
from ibisjunction.bench.capacity.message_costs import (
    MessageCost,
    measure_lease_table,
    measure_messages,
)
from ibisjunction.bench.capacity.process_costs import (
    measure_idle,
    measure_requests,
)


@dataclass(frozen=True, slots=True)
class Costs:
    """Fitted lines and costs of messages from one run."""

    fits: tuple[Fit, ...]
    messages: tuple[MessageCost, ...]

    def fit(self, name: str, per: str) -> Fit:
        """Return the line of a cost per unit of ``per``.

        :raises KeyError: if it was not measured.
        """
        for fit in self.fits:
            if (fit.name, fit.per) == (name, per):
                return fit
        raise KeyError(f'{name} per {per}')

    def message(self, kind: str) -> MessageCost:
        """Return the cost of a message type, by its class name."""
        return next(cost for cost in self.messages if cost.kind == kind)


def measure_all() -> Costs:
    """Measure everything; takes about a minute and a half."""
    return Costs(
        fits=(
            *measure_state_size(),
            *measure_control_cpu(),
            measure_publication(),
            measure_parsing(),
            measure_lease_table(),
            *measure_records(),
            measure_links(),
            *measure_idle(),
            *measure_requests(),
        ),
        messages=tuple(measure_messages()),
    )
