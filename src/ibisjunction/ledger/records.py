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
#: Records are copied to other holders, and expire, bucket by bucket.
BUCKETS: Final = 256


@dataclass(frozen=True, slots=True)
class Record:
    """The request that used a key, and how it ended.

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
        self._expiry_bucket = 0
        self._buckets: list[dict[str, Record]] = [{} for _ in range(BUCKETS)]

    def __len__(self) -> int:
        """Return the number of records."""
        return sum(len(bucket) for bucket in self._buckets)

    def reserve(self, request: ReserveRecord, now: int) -> Record | None:
        """Record a request, or return the record that prevents it."""
        bucket = self._bucket_of(request.key)
        existing = bucket.get(request.key)
        if existing is not None and not _is_expired(existing, now):
            is_same = existing.request_id == request.request_id
            return None if is_same and existing.verdict is None else existing
        bucket[request.key] = Record(
            request.key,
            request.request_id,
            request.digest,
            now,
        )
        return None

    def conclude(self, conclusion: ConcludeRecord) -> None:
        """Record how a request ended; remove the record if it was not run."""
        bucket = self._bucket_of(conclusion.key)
        existing = bucket.get(conclusion.key)
        if existing is None or existing.request_id != conclusion.request_id:
            return
        if conclusion.verdict is Verdict.NOT_RUN:
            bucket.pop(conclusion.key)
            return
        bucket[conclusion.key] = replace(
            existing,
            verdict=conclusion.verdict,
            status=conclusion.status,
        )

    def merge(self, copy: RecordCopy, now: int) -> None:
        """Add a copy from another holder; a concluded record takes priority."""
        bucket = self._bucket_of(copy.key)
        existing = bucket.get(copy.key)
        if existing is not None and (existing.verdict or copy.verdict is None):
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
        """Remove the expired records of one bucket.

        Each call continues with the next bucket.
        """
        bucket = self._buckets[self._expiry_bucket]
        self._expiry_bucket = (self._expiry_bucket + 1) % BUCKETS
        expired = [
            key for key, record in bucket.items() if _is_expired(record, now)
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
        """Return copies of the records of a bucket, with their ages."""
        return [
            RecordCopy(
                record.key,
                record.request_id,
                record.digest,
                record.verdict,
                record.status,
                now - record.created_ms,
            )
            for record in self._buckets[number].values()
        ]

    def _bucket_of(self, key: str) -> dict[str, Record]:
        key_hash = xxhash.xxh3_64_intdigest(key.encode())
        return self._buckets[key_hash % BUCKETS]


def _is_expired(record: Record, now: int) -> bool:
    return now - record.created_ms >= RETENTION_MS
