"""What a scenario does to a deployment, as data classes."""

from dataclasses import dataclass

from ibisjunction.bench.faults import Fault


@dataclass(frozen=True, slots=True)
class Kill:
    """Ends a process at once."""


@dataclass(frozen=True, slots=True)
class Pause:
    """Stops a process without ending it."""


@dataclass(frozen=True, slots=True)
class Resume:
    """Continues a paused process."""


@dataclass(frozen=True, slots=True)
class Restart:
    """Ends a process, gracefully if it runs, and starts it again."""


@dataclass(frozen=True, slots=True)
class SwitchFault:
    """Switches a fault of a stand-in."""

    fault: Fault


@dataclass(frozen=True, slots=True)
class RollingRestart:
    """Restarts every VM gracefully, one after the other."""


@dataclass(frozen=True, slots=True)
class PublishRace:
    """Publishes from several VMs at once on the same base revision."""


Action = (
    Kill | Pause | Resume | Restart | SwitchFault | RollingRestart | PublishRace
)


@dataclass(frozen=True, slots=True)
class TimedAction:
    """An action on a process; ``at_ms`` counts from the start of the load.

    ``target`` names a VM, an upstream or ``leader``; it is empty for actions
    on the whole deployment.
    """

    at_ms: int
    target: str
    action: Action
