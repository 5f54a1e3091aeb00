"""Messages about ownership, to the voters and inside a daemon."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ShardReleased:
    """The upstream no longer holds the grant with this fence.

    Sent to the voters by the dispatcher and repeated until the control state
    shows the end of the move.
    """

    service: str
    shard: int
    fence: int


@dataclass(frozen=True, slots=True)
class UpstreamLost:
    """An upstream does not answer, and its grants are no longer renewed.

    ``remaining_ms`` is the time until its grant lease has certainly expired.
    It is a duration because clocks of two VMs cannot be compared.
    """

    upstream: str
    epoch: int
    incarnation: int
    remaining_ms: int


@dataclass(frozen=True, slots=True)
class ShardsIdle:
    """Inside a daemon: the shards have no tickets and will get none.

    ``fences`` are those of moving shards whose tickets were all returned.
    """

    upstream: str
    epoch: int
    fences: frozenset[int]
