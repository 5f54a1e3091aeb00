"""Commands that a leader will propose, with the reason for the log."""

from dataclasses import dataclass

from ibisjunction.fleet.commands import FleetCommand


@dataclass(frozen=True, slots=True)
class PlannedCommand:
    """A command and its reason; ``why`` is only written to the log."""

    command: FleetCommand
    why: str
