"""Records of the load generator: one JSON object per request.

Times are milliseconds since boot, which all processes of one machine share.
"""

import enum
from collections.abc import Iterable
from pathlib import Path

import msgspec

from ibisjunction.verdict import Verdict


class Kind(enum.Enum):
    """Kind of a request; a workload has one service for each kind."""

    READS = 'reads'
    WRITES = 'writes'
    DOWNLOADS = 'downloads'


class Attempt(msgspec.Struct, frozen=True):
    """One attempt to send a request to a VM.

    ``was_sent`` is false if no connection to a VM was obtained. ``status`` is 0
    if no complete answer arrived; ``received_bytes`` counts the body.
    ``digest`` is the SHA-256 of the body of a complete answer with status 200.
    ``reason`` is a refusal's text up to the first colon, or why no complete
    answer arrived.
    """

    vm: str
    sent_ms: int
    ended_ms: int
    was_sent: bool = True
    status: int = 0
    verdict: Verdict | None = None
    request_id: str = ''
    received_bytes: int = 0
    digest: str = ''
    reason: str = ''


class RequestRecord(msgspec.Struct, frozen=True):
    """One request with all its attempts.

    ``intended_ms`` is the planned time of sending; latency counts from it, so
    that it includes the delay of a generator that falls behind. ``target_ms``
    is the latency target of the rank, ``target`` the path of the request.
    """

    number: int
    kind: Kind
    phase: str
    rank: str
    target_ms: int
    method: str
    target: str
    shard: str
    idempotency_key: str
    expected_bytes: int
    intended_ms: int
    latency_us: int
    attempts: list[Attempt]


def write_requests(path: Path, records: Iterable[RequestRecord]) -> None:
    """Write one line per record."""
    encoder = msgspec.json.Encoder()
    path.write_bytes(encoder.encode_lines(records))


def read_requests(path: Path) -> list[RequestRecord]:
    """Return the records of a file."""
    decoder = msgspec.json.Decoder(RequestRecord)
    return decoder.decode_lines(path.read_bytes())
