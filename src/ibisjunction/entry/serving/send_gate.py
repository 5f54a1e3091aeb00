"""Holds back requests that a VM which shuts down can't finish."""

import asyncio
import contextlib
from collections import Counter
from collections.abc import Callable, Iterable, Iterator

from ibisjunction.catalogue.model import RequestKind
from ibisjunction.clock import Clock
from ibisjunction.entry.dispatching.dispatch import Refuse
from ibisjunction.entry.link.model import ExpectedAnswer
from ibisjunction.entry.link.transfers import BulkTransfer, Link
from ibisjunction.entry.model import RoutedRequest
from ibisjunction.entry.serving.shutdown import (
    Fits,
    LinkQueues,
    Need,
    Shutdown,
    refuse,
)
from ibisjunction.entry.serving.usual_needs import Group, UsualNeeds


class SendGate:
    """Compares what requests need with what is left of a shutdown.

    It knows the requests at upstreams, which share the link with later ones.
    """

    def __init__(self) -> None:
        """Start without a shutdown, when every request may be sent."""
        self._shutdown: Shutdown | None = None
        self._usual = UsualNeeds()
        self._at_upstreams: Counter[Group] = Counter()
        self._transfers: set[BulkTransfer] = set()
        #: Returns the bytes of large answers that are being written to callers.
        self.count_unsent: Callable[[], int] = int

    @property
    def is_shutting_down(self) -> bool:
        """Whether a shutdown has begun."""
        return self._shutdown is not None

    def begin(self, end_ms: int) -> None:
        """Begin a shutdown.

        :param end_ms: when requests in flight are cut off.
        """
        self._shutdown = Shutdown(end_ms)

    def is_open(self, now: int) -> bool:
        """Return whether a request with time left may still be sent."""
        return self._shutdown is None or now < self._shutdown.last_send_ms

    def find_give_up_ms(self, routed: RoutedRequest) -> int:
        """Return when a request times out at this VM."""
        if self._shutdown is None:
            return routed.give_up_ms
        return min(routed.give_up_ms, self._shutdown.answer_by_ms)

    def find_refusal(
        self, routed: RoutedRequest, link: Link, now: int
    ) -> Refuse | None:
        """Return why a request must not be sent, if it must not."""
        return next(iter(self.list_refusals((routed,), link, now)))

    def list_refusals(
        self, requests: Iterable[RoutedRequest], link: Link, now: int
    ) -> list[Refuse | None]:
        """Return for each request why it must not be sent, if it must not.

        What waits for the link is measured once for all of them.
        """
        shutdown = self._shutdown
        if shutdown is None:
            return [None for _ in requests]
        queues = self._measure_queues(link)
        decisions = (
            shutdown.decide(
                self._find_need(routed), queues, routed.give_up_ms, now
            )
            for routed in requests
        )
        return [
            None if isinstance(decision, Fits) else refuse(decision)
            for decision in decisions
        ]

    @contextlib.contextmanager
    def count_sent(
        self, routed: RoutedRequest, clock: Clock, transfer: BulkTransfer
    ) -> Iterator[None]:
        """Count a request as being at an upstream during the block.

        :param transfer: of its body, of which only what is left takes the link.
        """
        started_ms = clock.now()
        group = _find_group(routed)
        self._at_upstreams[group] += 1
        self._transfers.add(transfer)
        try:
            yield
        except asyncio.CancelledError:
            # It has timed out, or its caller has left.
            self._usual.record_unanswered(group, clock.now() - started_ms)
            raise
        finally:
            self._transfers.discard(transfer)
            self._at_upstreams[group] -= 1
            if not self._at_upstreams[group]:
                self._at_upstreams.pop(group)

    def record_answer(
        self,
        routed: RoutedRequest,
        link: Link,
        latency_ms: int,
        answer_bytes: int,
    ) -> None:
        """Record a successful answer, to estimate what others need."""
        passed_bytes = len(routed.request.body) + answer_bytes
        link_ms = passed_bytes / link.bytes_per_ms
        self._usual.record(
            _find_group(routed), max(0, latency_ms - int(link_ms)), answer_bytes
        )

    def expect_answer(self, routed: RoutedRequest) -> ExpectedAnswer:
        """Return what is expected of the answer to a request."""
        size, duration_ms = self._usual.find_means(
            _find_group(routed), has_large_answer=has_large_answer(routed)
        )
        return ExpectedAnswer(size, duration_ms, self.find_give_up_ms(routed))

    def _find_need(self, routed: RoutedRequest) -> Need:
        return self._usual.find(
            _find_group(routed),
            len(routed.request.body),
            has_large_answer=has_large_answer(routed),
        )

    def _measure_queues(self, link: Link) -> LinkQueues:
        answers = sum(
            count * self._usual.find_size(group)
            for group, count in self._at_upstreams.items()
        )
        bodies = sum(transfer.left_bytes for transfer in self._transfers)
        return LinkQueues(
            link.bytes_per_ms,
            link.piece_bytes,
            sent=self.count_unsent() + bodies + answers,
            received=answers,
        )


def has_large_answer(routed: RoutedRequest) -> bool:
    """Return whether the answer to a request is usually large."""
    return routed.named_route.route.kind is RequestKind.DOWNLOAD


def _find_group(routed: RoutedRequest) -> Group:
    return Group(routed.named_route.name, routed.service)
