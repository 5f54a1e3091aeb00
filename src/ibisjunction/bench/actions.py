"""Actions that a scenario runs on a deployment."""

from dataclasses import dataclass

from ibisjunction.bench.faults import Fault


@dataclass(frozen=True, slots=True)
class Kill:
    """Ends a process at once with SIGKILL."""


@dataclass(frozen=True, slots=True)
class Pause:
    """Suspends a process with SIGSTOP."""


@dataclass(frozen=True, slots=True)
class Resume:
    """Continues a paused process with SIGCONT."""


@dataclass(frozen=True, slots=True)
class Restart:
    """Shuts a process down gracefully, if it runs, and starts it again."""


@dataclass(frozen=True, slots=True)
class SwitchFault:
    """Switches a fault of a stand-in on or off, or performs it once."""

    fault: Fault


@dataclass(frozen=True, slots=True)
class RollingRestart:
    """Restarts every VM gracefully, one after the other."""


@dataclass(frozen=True, slots=True)
class PublishRace:
    """Publishes through all VMs at once on the same base revision."""


Action = (
    Kill | Pause | Resume | Restart | SwitchFault | RollingRestart | PublishRace
)


@dataclass(frozen=True, slots=True)
class TimedAction:
    """An action with its target; ``at_ms`` counts from the start of the load.

    ``target`` names a VM, an upstream or ``leader``; it is empty for actions
    on the whole deployment.
    """

    at_ms: int
    target: str
    action: Action
