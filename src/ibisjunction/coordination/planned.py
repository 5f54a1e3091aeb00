"""Commands that a leader has decided on, with the reason for the log."""

from dataclasses import dataclass

from ibisjunction.fleet.commands import FleetCommand


@dataclass(frozen=True, slots=True)
class Planned:
    """A command, and what decided it; ``why`` is for people only."""

    command: FleetCommand
    why: str
