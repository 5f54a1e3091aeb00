"""What upstreams say in their answers about further requests of this VM."""

from collections.abc import Iterable
from dataclasses import dataclass
from http import HTTPStatus
from typing import Final

from ibisjunction.clock import MS_PER_S
from ibisjunction.entry.dispatching.limits import parse_limit
from ibisjunction.entry.dispatching.load import ToldLoad, parse_load
from ibisjunction.entry.model import HeaderNames
from ibisjunction.entry.upstream_calls.exchange import (
    ExchangeResult,
    UpstreamAnswer,
)
from ibisjunction.fleet.model import ProcessKey, Upstream

#: Longest pause that is kept; an upstream that wants longer is asked again.
_MAX_PAUSE_MS: Final = 60_000
_RETRY_AFTER: Final = 'Retry-After'
_IS_LEAVING: Final = '1'


@dataclass(frozen=True, slots=True)
class Notice:
    """What one answer says.

    ``limit_per_s`` is the limit on requests of all VMs, if any. ``pause_ms`` is
    how long the upstream wants nothing from this VM. ``load`` is the load that
    it tells.
    """

    limit_per_s: float | None = None
    is_leaving: bool = False
    pause_ms: int = 0
    load: ToldLoad | None = None


def read_notice(result: ExchangeResult, names: HeaderNames) -> Notice:
    """Return what the answer of an exchange says, if there is one."""
    if not isinstance(result, UpstreamAnswer):
        return Notice()
    headers = result.headers
    pause_s = None
    if result.status == HTTPStatus.SERVICE_UNAVAILABLE:
        pause_s = parse_limit(headers.get(_RETRY_AFTER))
    return Notice(
        parse_limit(headers.get(names.limit)),
        headers.get(names.leaving, '').strip() == _IS_LEAVING,
        min(_MAX_PAUSE_MS, round((pause_s or 0) * MS_PER_S)),
        parse_load(headers.get(names.load)),
    )


class UpstreamNotices:
    """The processes of upstreams that this VM must not send to.

    An upstream that leaves tells each VM in its answers, in touch with the
    leader or not; from then on it gets requests for ``leave_ms`` only, while
    its keys move.
    """

    def __init__(self, leave_ms: int) -> None:
        """Start without notices."""
        self._leave_ms = leave_ms
        self._leaving_since_ms: dict[ProcessKey, int] = {}
        self._paused_until_ms: dict[ProcessKey, int] = {}
        self._services: dict[ProcessKey, str] = {}

    def record(self, upstream: Upstream, notice: Notice, now: int) -> None:
        """Record what an answer of an upstream says."""
        process = upstream.process_key
        if notice.is_leaving or notice.pause_ms:
            self._services[process] = upstream.service
        if notice.is_leaving:
            self._leaving_since_ms.setdefault(process, now)
        if notice.pause_ms:
            until_ms = now + notice.pause_ms
            latest_ms = self._paused_until_ms.get(process, 0)
            self._paused_until_ms[process] = max(until_ms, latest_ms)

    def pause_left_ms(self, process: ProcessKey, now: int) -> int:
        """Return how long a process wants nothing from this VM."""
        return max(0, self._paused_until_ms.get(process, 0) - now)

    def is_unwanted(
        self, process: ProcessKey, now: int, body_ms: float = 0
    ) -> bool:
        """Return whether no request may be sent to a process.

        :param body_ms: how long the body of the request needs on the link. It
            has to arrive before the process ends.
        """
        since_ms = self._leaving_since_ms.get(process)
        has_left = (
            since_ms is not None and now + body_ms >= since_ms + self._leave_ms
        )
        return has_left or self.pause_left_ms(process, now) > 0

    def list_avoided(self, service: str, now: int) -> frozenset[ProcessKey]:
        """Return the processes of a service that pause or leave."""
        return frozenset(
            process
            for process, name in self._services.items()
            if name == service
            and (
                process in self._leaving_since_ms
                or self.pause_left_ms(process, now)
            )
        )

    def retain(self, processes: Iterable[ProcessKey]) -> None:
        """Forget all other processes."""
        retained = frozenset(processes)
        for process in self._services.keys() - retained:
            self._services.pop(process)
            self._leaving_since_ms.pop(process, None)
            self._paused_until_ms.pop(process, None)
