"""Faults of a stand-in, switched at run time through its control endpoint."""

import enum
from dataclasses import dataclass
from typing import Final, get_args

from ibisjunction.peers.codec import Codec


class Report(enum.Enum):
    """How accurately the health and load endpoints report the state."""

    ACCURATE = 'accurate'
    #: The state some seconds ago.
    LAGGING = 'lagging'
    #: Always healthy and idle.
    WRONG = 'wrong'


@dataclass(frozen=True, slots=True)
class SetFrozen:
    """Holds back all answers, also to probes and grants, or sends them."""

    frozen: bool


@dataclass(frozen=True, slots=True)
class SetShedding:
    """Refuses all requests as not run, or accepts them again."""

    shedding: bool


@dataclass(frozen=True, slots=True)
class SetReport:
    """Sets how accurately the health and load endpoints report."""

    report: Report


@dataclass(frozen=True, slots=True)
class SetCrashTarget:
    """Kills the process when a request with this target prefix starts."""

    prefix: str


@dataclass(frozen=True, slots=True)
class SilenceConnections:
    """Stops traffic on open connections for good; new connections work."""


@dataclass(frozen=True, slots=True)
class StartDrain:
    """Announces that the upstream is draining."""


Fault = (
    SetFrozen
    | SetShedding
    | SetReport
    | SetCrashTarget
    | SilenceConnections
    | StartDrain
)
FAULT_CODEC: Final = Codec(get_args(Fault))
