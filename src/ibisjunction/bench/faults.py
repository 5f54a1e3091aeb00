"""Faults of a stand-in, switched at run time through its control endpoint."""

import enum
from dataclasses import dataclass
from typing import Final, get_args

from ibisjunction.peers.codec import Codec


class Report(enum.Enum):
    """What the health and load endpoints tell."""

    ACCURATE = 'accurate'
    #: The state of some seconds ago.
    LAGGING = 'lagging'
    #: Healthy and idle, whatever the state.
    WRONG = 'wrong'


@dataclass(frozen=True, slots=True)
class SetFrozen:
    """Stops or resumes every answer, also of probes and grants."""

    frozen: bool


@dataclass(frozen=True, slots=True)
class SetShedding:
    """Refuses every request as not run, or stops doing so."""

    shedding: bool


@dataclass(frozen=True, slots=True)
class SetReport:
    """Chooses what the health and load endpoints tell."""

    report: Report


@dataclass(frozen=True, slots=True)
class SetCrashTarget:
    """Makes the process exit when a target with this prefix starts to run."""

    prefix: str


@dataclass(frozen=True, slots=True)
class SilenceConnections:
    """Stops traffic on established connections for good; new ones work."""


@dataclass(frozen=True, slots=True)
class StartDrain:
    """Announces that the upstream leaves."""


Fault = (
    SetFrozen
    | SetShedding
    | SetReport
    | SetCrashTarget
    | SilenceConnections
    | StartDrain
)
FAULT_CODEC: Final = Codec(get_args(Fault))
