"""Settings of one daemon, as data classes."""

from dataclasses import dataclass
from pathlib import Path


@dataclass(frozen=True, slots=True)
class Address:
    """An IP number and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        """Return ``host:port``."""
        return f'{self.host}:{self.port}'


@dataclass(frozen=True, slots=True)
class VoterAddress:
    """A voter of the control log in a new deployment, and its peer address."""

    vm: str
    peer: Address


@dataclass(frozen=True, slots=True)
class AuthKey:
    """A shared key; two are valid at a time during a rotation."""

    key_id: str
    secret: bytes


@dataclass(frozen=True, slots=True)
class TimingSettings:
    """Intervals and limits in milliseconds.

    ``clock_error`` is the largest relative difference between the clock rates
    of two VMs, for example 0.01.
    """

    heartbeat_ms: int
    vm_lease_ms: int
    grant_lease_ms: int
    grant_renewal_ms: int
    election_min_ms: int
    election_max_ms: int
    drain_ms: int
    clock_error: float


@dataclass(frozen=True, slots=True)
class Settings:
    """The contents of a daemon's settings file.

    ``data_folder`` is set on VMs with a disk; a VM named in ``voters`` needs
    one. ``peer`` is the address at which other daemons reach this one.
    """

    vm: str
    region: str
    failure_domain: str
    http: Address
    admin: Address
    peer: Address
    voters: tuple[VoterAddress, ...]
    keys: tuple[AuthKey, ...]
    operator_token: str
    upstream_token: str
    timing: TimingSettings
    data_folder: Path | None = None

    @property
    def is_voter(self) -> bool:
        """Whether ``voters`` lists this VM."""
        return any(voter.vm == self.vm for voter in self.voters)
