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
    """What a VM last reported; ``revision`` is null if it is not live."""

    vm: str
    failure_domain: str
    live: bool
    revision: int | None


class VmsAnswer(msgspec.Struct, frozen=True):
    """Answer of ``GET /v1/vms``; ``revision`` is the one to be in force."""

    revision: int
    vms: list[VmStatus]


class KeyAnswer(msgspec.Struct, frozen=True):
    """Answer of ``GET /v1/services/<service>/keys/<key>``.

    ``upstream`` and what follows it are null while the shard has no owner.
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
    """The revision that the publication became."""

    revision: int


class ChangeVotersRequest(
    msgspec.Struct,
    frozen=True,
    forbid_unknown_fields=True,
):
    """Body of ``POST /v1/voters``: the disk to add or to remove.

    ``peer`` is the ``host:port`` of the VM of a disk to add.
    """

    add: str | None = None
    remove: str | None = None
    peer: str = ''


class RenewalRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of ``POST /v1/services/<service>/clients/<client>/renewals``."""

    renewal_id: str


class RenewalAnswer(msgspec.Struct, frozen=True):
    """The client's level after the renewal."""

    level: int


class ErrorAnswer(msgspec.Struct, frozen=True):
    """Why a call had no effect, and what to do next."""

    error: str


class GrantStatus(msgspec.Struct, frozen=True):
    """Number of shards that one upstream owns."""

    upstream: str
    service: str
    address: str
    shards: int
    dispatcher: str | None
    draining: bool


class StatusAnswer(msgspec.Struct, frozen=True):
    """Answer of ``GET /v1/status``."""

    vm: str
    ready: bool
    revision: int
    leader: str | None
    voters: list[str]
    index: int
    vms: list[str]
    upstreams: list[GrantStatus]
