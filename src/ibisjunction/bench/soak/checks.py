"""What must hold at every moment of a soak."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from typing import Final

from ibisjunction.bench.soak.machines import DRAIN_MS, EntryVm
from ibisjunction.bench.soak.upstreams import (
    BUCKETS,
    SERVICE,
    SimulatedUpstream,
)
from ibisjunction.fleet.model import BUCKET_KEYS, FleetState

_NO_FENCES: Final = tuple((0, '') for _ in range(BUCKETS))


@dataclass(slots=True)
class Checks:
    """Compares what machines do with what was confirmed."""

    violations: list[str] = field(default_factory=list)
    confirmed: dict[int, int] = field(default_factory=dict)
    _fences: list[tuple[int, str]] = field(
        default_factory=lambda: list(_NO_FENCES),
    )
    _versions: dict[tuple[str, int], int] = field(default_factory=dict)

    def look(
        self,
        upstreams: list[SimulatedUpstream],
        entries: Iterable[EntryVm],
        now: int,
    ) -> None:
        """Add what is wrong now."""
        for text in (
            *self._check_holders(upstreams),
            *self._check_fences(upstreams),
        ):
            self._report(text, now)
        for entry in entries:
            state = entry.state
            if state is not None:
                for text in self._check_entry(entry, state, upstreams, now):
                    self._report(text, now)

    def confirm(self, version: int, now: int) -> None:
        """Note that an operator's version was confirmed."""
        self.confirmed[version] = now

    def _report(self, text: str, now: int) -> None:
        line = f'{now} ms: {text}'
        if text not in {one.partition(': ')[2] for one in self.violations}:
            self.violations.append(line)

    def _check_holders(
        self,
        upstreams: list[SimulatedUpstream],
    ) -> Iterator[str]:
        """Yield keys that two processes hold."""
        holds = sorted(
            (hold.first, hold.last, upstream.process)
            for upstream in upstreams
            if upstream.is_alive
            for hold in upstream.holds
        )
        for (_, last, owner), (first, _, other) in zip(
            holds,
            holds[1:],
            strict=False,
        ):
            if first <= last and owner != other:
                yield f'key {first} is held by {owner} and {other}'

    def _check_fences(
        self,
        upstreams: list[SimulatedUpstream],
    ) -> Iterator[str]:
        """Yield keys whose fence did not grow with a change of owner."""
        for upstream in upstreams:
            for hold in upstream.holds:
                bucket = hold.first // BUCKET_KEYS
                fence, owner = self._fences[bucket]
                if owner != upstream.process and hold.fence <= fence:
                    yield (
                        f'fence {fence} of {owner} is reused by'
                        f' {upstream.process}'
                    )
                if hold.fence >= fence:
                    self._fences[bucket] = (hold.fence, upstream.process)

    def _check_entry(
        self,
        entry: EntryVm,
        state: FleetState,
        upstreams: list[SimulatedUpstream],
        now: int,
    ) -> Iterator[str]:
        """Yield what an entry VM would do wrong if a request came now."""
        for upstream in upstreams:
            if _has_left(upstream, now) and _is_used(upstream, state):
                yield f'{entry.name} sends to {upstream.name}, which has left'
        item = state.catalogue.services.get(SERVICE)
        version = item.version if item else 0
        due = self._find_due(now)
        if version < due:
            yield f'{entry.name} follows version {version}, confirmed {due}'
        process = (entry.name, entry.starts)
        if version < self._versions.get(process, 0):
            yield f'{entry.name} has gone back to version {version}'
        self._versions[process] = version

    def _find_due(self, now: int) -> int:
        """Return the newest version that all must follow by now."""
        return max(
            (
                version
                for version, confirmed_ms in self.confirmed.items()
                if now > confirmed_ms + DRAIN_MS
            ),
            default=0,
        )


def _has_left(upstream: SimulatedUpstream, now: int) -> bool:
    drained_ms = upstream.drained_ms
    return drained_ms is not None and now > drained_ms + DRAIN_MS


def _is_used(upstream: SimulatedUpstream, state: FleetState) -> bool:
    known = state.upstreams.get(upstream.name)
    is_same = known is not None and known.born == upstream.born
    return is_same and known is not None and not known.is_draining
