"""Runs an entry process, which serves requests of callers."""

import asyncio
import contextlib
import logging
import random
from collections.abc import AsyncIterator
from dataclasses import dataclass
from typing import Any, Final

from ibisjunction.catalogue.routes import Splitter
from ibisjunction.clock import Clock, SystemClock, in_seconds
from ibisjunction.entry.callers.server import CallerRoom, EntryServer
from ibisjunction.entry.components import EntryComponents
from ibisjunction.entry.dispatching.dispatch import Dispatcher
from ibisjunction.entry.following.evacuations import EvacuatedDomains
from ibisjunction.entry.following.membership import EntryMembership
from ibisjunction.entry.hedging.policy import HedgePolicy, HedgeTerms
from ibisjunction.entry.link.reading import find_unread_bytes
from ibisjunction.entry.link.task import LinkTask
from ibisjunction.entry.link.transfers import SharedLink
from ibisjunction.entry.model import HeaderNames
from ibisjunction.entry.serving.budget import RetryBudget
from ibisjunction.entry.serving.crash_task import CrashTask
from ibisjunction.entry.serving.crashes import CrashSuspects
from ibisjunction.entry.serving.requests import RequestProcessor
from ibisjunction.entry.tickets.tickets import TicketTask
from ibisjunction.entry.upstream_calls.notices import UpstreamNotices
from ibisjunction.entry.upstream_calls.pool import ConnectionPool
from ibisjunction.events import Event, log_event
from ibisjunction.mailbox import Mailbox, run_task
from ibisjunction.membership.leases import VmLease
from ibisjunction.metrics import MetricsTask
from ibisjunction.nodes.links import make_peers, read_incarnation
from ibisjunction.nodes.settings import CLOCK_ERROR, NodeSettings
from ibisjunction.peers.traffic import PeerTraffic
from ibisjunction.settings import Address

_logger = logging.getLogger(__name__)

#: Time for which connections are accepted after the VM reports that it is not
#: ready: the balancer checks once per second and stops after two such answers.
_ACCEPT_AFTER_UNREADY_MS: Final = 2600
_SHUTDOWN_POLL_MS: Final = 50
#: Time reserved to close connections and exit within the grace period.
_SHUTDOWN_RESERVE_MS: Final = 400
#: Time before connections are closed at which requests in flight get an answer
#: of this VM, so that it is written in time.
_LAST_ANSWERS_MS: Final = 60
#: An upstream that leaves gets the last request this long before the end of the
#: drain period, as the request takes time to arrive.
_LEAVE_RESERVE_MS: Final = 500


@dataclass(frozen=True, slots=True)
class EntryNode:
    """A running entry process."""

    settings: NodeSettings
    clock: Clock
    processor: RequestProcessor
    server: EntryServer
    membership: EntryMembership
    metrics: Mailbox[Any]

    async def drain(self) -> None:
        """Shut down gracefully.

        Connections are accepted until the balancer has stopped sending new
        requests. Requests in flight are cut off only at the end of the grace
        period.
        """
        log_event(_logger, Event.DAEMON_DRAINING, vm=self.settings.vm)
        drain_ms = self.settings.grace_ms - _SHUTDOWN_RESERVE_MS
        end_ms = self.clock.now() + drain_ms
        self.processor.begin_shutdown(end_ms)
        self.membership.is_serving = False
        finish_ms = max(0, drain_ms - _ACCEPT_AFTER_UNREADY_MS)
        async with run_task(self._end_requests(end_ms), 'end of requests'):
            cut_off_count = await self.server.drain(
                _ACCEPT_AFTER_UNREADY_MS, finish_ms
            )
        self.membership.leave()
        log_event(
            _logger,
            Event.DAEMON_STOPPED,
            vm=self.settings.vm,
            requests_cut_off=cut_off_count,
        )

    async def _end_requests(self, end_ms: int) -> None:
        """Refuse what waits once nothing more is sent, and end the rest.

        :param end_ms: when requests in flight are cut off.
        """
        while self.processor.may_send(self.clock.now()):
            self.processor.refuse_late()
            await asyncio.sleep(in_seconds(_SHUTDOWN_POLL_MS))
        self.processor.refuse_unsent()
        left_ms = end_ms - _LAST_ANSWERS_MS - self.clock.now()
        await asyncio.sleep(in_seconds(max(0, left_ms)))
        self.processor.end_requests()


@contextlib.asynccontextmanager
async def run_entry(
    settings: NodeSettings,
    caller_address: Address,
    header_names: HeaderNames,
    failed: asyncio.Event,
) -> AsyncIterator[EntryNode]:
    """Run an entry process for the duration of the block.

    ``failed`` is set when one of its tasks ends with an error.
    """
    clock = SystemClock()
    incarnation = read_incarnation()
    peers = make_peers(settings, incarnation, clock)
    metrics = MetricsTask()
    peers.subscribe(metrics.mailbox, PeerTraffic)
    tickets = TicketTask(
        str(settings.vm),
        clock,
        peers,
        Dispatcher(random.Random(), cold_terms=settings.cold),
    )
    link_task = LinkTask(clock, settings.link_mbps, metrics.mailbox)
    components = _make_components(
        settings, header_names, incarnation, tickets.mailbox, link_task
    )
    processor = RequestProcessor(components, random.Random())
    membership = EntryMembership(
        str(settings.vm),
        incarnation,
        settings.seed_names,
        clock,
        peers,
        processor,
        components,
        settings.capacity,
    )
    server = EntryServer(
        processor,
        clock,
        header_names,
        caller_address,
        metrics.mailbox,
        components.link,
        find_unread_bytes(settings.link_mbps),
        CallerRoom(
            settings.body_room_bytes,
            settings.max_caller_connections,
            components.pool.answer_budget,
        ),
    )
    processor.on_limits_changed = server.apply_limits
    processor.send_gate.count_unsent = server.count_unsent
    link_task.count_unsent = server.count_unsent
    async with contextlib.AsyncExitStack() as stack:
        stack.callback(components.pool.close)
        await stack.enter_async_context(peers.run())
        await _enter_all(
            stack,
            run_task(membership.run(), 'membership', failed),
            run_task(membership.run_timer(), 'membership timer', failed),
            run_task(tickets.run(), 'tickets', failed),
            run_task(tickets.run_timer(), 'tickets timer', failed),
            run_task(
                _run_crash_task(components, membership.mailbox),
                'crashes',
                failed,
            ),
            run_task(metrics.run(), 'metrics', failed),
            run_task(link_task.run(), 'link', failed),
            run_task(server.lag.run(), 'lag of the event loop', failed),
            run_task(link_task.run_reports(), 'link reports', failed),
        )
        server.listen_to_callers()
        stack.push_async_callback(server.close)
        log_event(_logger, Event.DAEMON_STARTED, vm=settings.vm)
        yield EntryNode(
            settings, clock, processor, server, membership, metrics.mailbox
        )


async def _enter_all(
    stack: contextlib.AsyncExitStack,
    *tasks: contextlib.AbstractAsyncContextManager[Any],
) -> None:
    for task in tasks:
        await stack.enter_async_context(task)


async def _run_crash_task(
    components: EntryComponents, reporter: Mailbox[Any]
) -> None:
    """Run the task that finds crashes until cancelled."""
    await CrashTask(components.suspects, components.crashes, reporter).run()


def _make_components(
    settings: NodeSettings,
    header_names: HeaderNames,
    incarnation: int,
    tickets: Mailbox[Any],
    link_task: LinkTask,
) -> EntryComponents:
    clock = SystemClock()
    rng = random.Random()
    return EntryComponents(
        vm=str(settings.vm),
        failure_domain=settings.failure_domain,
        clock=clock,
        names=header_names,
        lease=VmLease(incarnation, CLOCK_ERROR),
        tickets=tickets,
        splitter=Splitter(rng),
        budget=RetryBudget(settings.budget),
        pool=ConnectionPool(
            clock,
            settings.max_answer_bytes,
            find_unread_bytes(settings.link_mbps),
        ),
        notices=UpstreamNotices(
            max(0, settings.drain_ms - _LEAVE_RESERVE_MS),
        ),
        suspects=CrashSuspects(),
        crashes=Mailbox(),
        evacuations=EvacuatedDomains(settings.evacuation_ms),
        link=SharedLink(link_task),
        hedging=HedgePolicy(HedgeTerms(settings.hedge_ratio)),
    )
