"""Requests and answers of the administration API."""

import msgspec


class PublishRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of ``POST /v1/revisions``; ``files`` maps names to texts."""

    base_revision: int
    publication_id: str
    files: dict[str, str]


class RevisionAnswer(msgspec.Struct, frozen=True):
    """Answer of ``GET /v1/revisions``."""

    revision: int
    files: dict[str, str]


class VmStatus(msgspec.Struct, frozen=True):
    """A VM and the revision it last reported, null if it is not live."""

    vm: str
    failure_domain: str
    live: bool
    revision: int | None


class VmsAnswer(msgspec.Struct, frozen=True):
    """Answer of ``GET /v1/vms``; ``revision`` is the current one."""

    revision: int
    vms: list[VmStatus]


class KeyAnswer(msgspec.Struct, frozen=True):
    """Answer of ``GET /v1/services/<service>/keys/<key>``.

    ``upstream`` and the fields after it are null while the shard has no owner;
    ``epoch`` is that of the dispatcher.
    """

    service: str
    key: str
    shard: int
    upstream: str | None = None
    fence: int | None = None
    moving_to: str | None = None
    dispatcher: str | None = None
    epoch: int | None = None


class PublishAnswer(msgspec.Struct, frozen=True):
    """Answer of ``POST /v1/revisions``: the revision that was published."""

    revision: int


class ChangeVotersRequest(
    msgspec.Struct,
    frozen=True,
    forbid_unknown_fields=True,
):
    """Body of ``POST /v1/voters``: the disk to add or to remove.

    ``peer`` is the peer address, IP number and port, of the added disk's VM.
    """

    add: str | None = None
    remove: str | None = None
    peer: str = ''


class RenewalRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of ``POST /v1/services/<service>/clients/<client>/renewals``."""

    renewal_id: str


class RenewalAnswer(msgspec.Struct, frozen=True):
    """Answer of a renewal: the client's level after it."""

    level: int


class ErrorAnswer(msgspec.Struct, frozen=True):
    """Body of an error answer: the reason, and what to do next."""

    error: str


class UpstreamStatus(msgspec.Struct, frozen=True):
    """An upstream, the number of shards it owns and its dispatcher."""

    upstream: str
    service: str
    address: str
    shards: int
    dispatcher: str | None
    draining: bool


class StatusAnswer(msgspec.Struct, frozen=True):
    """Answer of ``GET /v1/status``.

    ``index`` is the index of the last log entry that the VM has applied to its
    copy of the control state.
    """

    vm: str
    ready: bool
    revision: int
    leader: str | None
    voters: list[str]
    index: int
    vms: list[str]
    upstreams: list[UpstreamStatus]
