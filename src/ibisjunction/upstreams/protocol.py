"""The HTTP protocol between the system and an upstream.

An upstream announces itself to any VM with ``POST /v1/upstreams``. Its
dispatcher sends it grants with ``PUT /ibis/grants``. A VM sends it
``POST /ibis/cancel/<request id>`` to cancel a request whose answer is no longer
needed; any status means that the call arrived. An upstream echoes
``Ibis-Request-Id`` in its answers; a connection is closed after an answer
without it. The grant lease runs on the upstream's own clock and starts at the
clock reading that the call echoes, so a delayed call never extends it.
"""

from typing import Final

import msgspec

#: Path to which the dispatcher sends the grants of an upstream.
GRANTS_PATH: Final = '/ibis/grants'
SHARD_HEADER: Final = 'Ibis-Shard'
FENCE_HEADER: Final = 'Ibis-Fence'
EPOCH_HEADER: Final = 'Ibis-Epoch'
REQUEST_ID_HEADER: Final = 'Ibis-Request-Id'
DEADLINE_HEADER: Final = 'Ibis-Deadline-Ms'
#: Followed by the request's id; ``POST`` without a body.
CANCEL_PATH: Final = '/ibis/cancel/'


class UpstreamUnreachableError(Exception):
    """The upstream did not answer a call as the protocol requires."""


class GrantedShard(msgspec.Struct, frozen=True):
    """One shard that the upstream owns, with its fence."""

    service: str
    shard: int
    fence: int


class GrantCall(msgspec.Struct, frozen=True):
    """All grants of an upstream; they replace all earlier ones.

    ``incarnation`` is that of the process which the grants are for. Another
    process may listen at the same address, and answers with status 421.
    ``sequence`` increases within an epoch. A call may be delayed on a broken
    connection, so the upstream ignores one that is older than the last.
    ``echo`` is the clock reading of the upstream's last answer, or ``None`` on
    the first call, which only obtains a reading.
    """

    vm: str
    incarnation: int
    epoch: int
    sequence: int
    echo: int | None
    lease_ms: int
    grants: list[GrantedShard]


class GrantAnswer(msgspec.Struct, frozen=True):
    """The upstream's answer with its clock in milliseconds."""

    accepted: bool
    clock: int
    detail: str = ''


class Announcement(
    msgspec.Struct,
    frozen=True,
    forbid_unknown_fields=True,
):
    """Description with which an upstream registers itself."""

    upstream: str
    service: str
    address: str
    failure_domain: str
    slots: int
    connections: int
    checks_fence: bool
    incarnation: int
