"""Settings of a stand-in for an upstream."""

from dataclasses import dataclass
from pathlib import Path


@dataclass(frozen=True, slots=True)
class ServiceTime:
    """Distribution of the time a request takes on a slot.

    The time is log-normal with the given median; ``spread`` is the standard
    deviation of its logarithm. During the first ``cold_ms`` after start it is
    multiplied by a factor that falls linearly from ``cold_factor`` to 1.
    """

    median_ms: float
    spread: float = 0
    cold_factor: float = 1
    cold_ms: int = 0
    seed: int = 0


@dataclass(frozen=True, slots=True)
class UpstreamProfile:
    """Settings that a stand-in is started with.

    ``download_bytes`` is the length of each answer; its content follows from
    the request's target. Above ``max_queue`` waiting requests the stand-in
    sheds load; 0 means no bound. ``announce_to`` are administration addresses,
    tried in order. without a ``control_address``, faults can't be switched. The
    start of a request whose target has the prefix ``crash_on`` kills the
    process; an empty prefix turns this off.
    """

    upstream: str
    service: str
    failure_domain: str
    slots: int
    service_time: ServiceTime
    download_bytes: int
    checks_fence: bool
    announce_to: tuple[str, ...]
    token: str
    record_file: Path
    max_queue: int = 0
    control_address: str = ''
    crash_on: str = ''
