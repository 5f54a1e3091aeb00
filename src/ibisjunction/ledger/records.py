"""The records that one VM holds."""

from dataclasses import dataclass, replace
from typing import Final

import xxhash

from ibisjunction.ledger.messages import (
    ConcludeRecord,
    RecordCopy,
    ReserveRecord,
)
from ibisjunction.verdict import Verdict

#: Callers may resend a request for this long, 10 minutes.
RETENTION_MS: Final = 600_000
#: Records are copied to other holders bucket by bucket.
BUCKETS: Final = 256


@dataclass(frozen=True, slots=True)
class Record:
    """What is known about the request that used a key.

    ``verdict`` is ``None`` while the request is in progress.
    """

    key: str
    request_id: str
    digest: str
    created_ms: int
    verdict: Verdict | None = None
    status: int = 0


class RecordTable:
    """Records by key, in buckets."""

    def __init__(self) -> None:
        """Start without records."""
        self._next_expiry = 0
        self._buckets: list[dict[str, Record]] = [{} for _ in range(BUCKETS)]

    def __len__(self) -> int:
        """Return the number of records."""
        return sum(len(bucket) for bucket in self._buckets)

    def reserve(self, ask: ReserveRecord, now: int) -> Record | None:
        """Keep a record of the request, or return the one in its way."""
        bucket = self._bucket_of(ask.key)
        held = bucket.get(ask.key)
        if held is not None and not _is_expired(held, now):
            is_same = held.request_id == ask.request_id
            return None if is_same and held.verdict is None else held
        bucket[ask.key] = Record(ask.key, ask.request_id, ask.digest, now)
        return None

    def conclude(self, conclusion: ConcludeRecord) -> None:
        """Keep how a request ended; forget one that was not run."""
        bucket = self._bucket_of(conclusion.key)
        held = bucket.get(conclusion.key)
        if held is None or held.request_id != conclusion.request_id:
            return
        if conclusion.verdict is Verdict.NOT_RUN:
            bucket.pop(conclusion.key)
            return
        bucket[conclusion.key] = replace(
            held,
            verdict=conclusion.verdict,
            status=conclusion.status,
        )

    def merge(self, copy: RecordCopy, now: int) -> None:
        """Take a copy from another holder; a concluded record wins."""
        bucket = self._bucket_of(copy.key)
        held = bucket.get(copy.key)
        if held is not None and (held.verdict or copy.verdict is None):
            return
        bucket[copy.key] = Record(
            copy.key,
            copy.request_id,
            copy.digest,
            now - copy.age_ms,
            copy.verdict,
            copy.status,
        )

    def expire(self, now: int) -> None:
        """Forget what is too old in the next bucket, one at each call."""
        bucket = self._buckets[self._next_expiry]
        self._next_expiry = (self._next_expiry + 1) % BUCKETS
        expired = [
            key for key, held in bucket.items() if _is_expired(held, now)
        ]
        for key in expired:
            bucket.pop(key)

    def next_bucket(self, start: int) -> int | None:
        """Return the first bucket with records from ``start`` on."""
        for number in range(start, BUCKETS):
            if self._buckets[number]:
                return number
        return None

    def copy_bucket(self, number: int, now: int) -> list[RecordCopy]:
        """Return the records of a bucket, with their age."""
        return [
            RecordCopy(
                held.key,
                held.request_id,
                held.digest,
                held.verdict,
                held.status,
                now - held.created_ms,
            )
            for held in self._buckets[number].values()
        ]

    def _bucket_of(self, key: str) -> dict[str, Record]:
        digest = xxhash.xxh3_64_intdigest(key.encode())
        return self._buckets[digest % BUCKETS]


def _is_expired(record: Record, now: int) -> bool:
    return now - record.created_ms >= RETENTION_MS
