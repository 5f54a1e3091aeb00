"""Handlers of calls that only read."""

from http import HTTPStatus

from prometheus_client.exposition import CONTENT_TYPE_PLAIN_0_0_4

from ibisjunction.admin.context import ApiError, ApiHandler
from ibisjunction.admin.model import VmsAnswer, VmStatus
from ibisjunction.control.state import ControlState
from ibisjunction.mailbox import Mailbox
from ibisjunction.membership.messages import VmReports
from ibisjunction.metrics import ReadMetrics


class ReadyHandler(ApiHandler):
    """``/ready``: health check of the platform's load balancer."""

    def get(self) -> None:
        """Answer 200 if this VM serves requests, else 503 with the reason."""
        reason = self.context.task.find_unready_reason()
        if reason is not None:
            raise ApiError(HTTPStatus.SERVICE_UNAVAILABLE, reason)
        self.finish('ready\n')


class MetricsHandler(ApiHandler):
    """``/metrics``: request metrics in Prometheus text format."""

    async def get(self) -> None:
        """Report latency percentiles and counts of this VM's requests."""
        reply: Mailbox[bytes] = Mailbox()
        self.context.metrics.post(ReadMetrics(reply))
        self.set_header('Content-Type', CONTENT_TYPE_PLAIN_0_0_4)
        self.finish(await reply.get())


class StatusHandler(ApiHandler):
    """``/v1/status``: this VM's copy of the control state."""

    def get(self) -> None:
        """Report the VMs, voters, leader, revision and upstreams."""
        self.check_operator()
        self.answer(self.context.task.report_status())


class VmsHandler(ApiHandler):
    """``/v1/vms``: what each VM last reported to the leader."""

    async def get(self) -> None:
        """Report the revision that is in force on each VM."""
        self.check_operator()
        reports = await self.context.reports.fetch()
        if reports is None:
            raise ApiError(
                HTTPStatus.SERVICE_UNAVAILABLE,
                'no leader answered; try again',
            )
        state = self.context.task.state
        self.answer(VmsAnswer(state.revision, _list_vms(state, reports)))


class KeyHandler(ApiHandler):
    """``/v1/services/<service>/keys/<key>``: placement of a key."""

    def get(self, service: str, key: str) -> None:
        """Report shard, owner, fence and dispatcher of a key."""
        self.check_operator()
        placement = self.context.task.explain_key(service, key)
        if placement is None:
            raise ApiError(
                HTTPStatus.NOT_FOUND,
                f'service {service} is not published',
            )
        self.answer(placement)


def _list_vms(state: ControlState, reports: VmReports) -> list[VmStatus]:
    return [
        VmStatus(
            vm=vm,
            failure_domain=record.failure_domain,
            live=vm in reports.revisions,
            revision=reports.revisions.get(vm),
        )
        for vm, record in sorted(state.vms.items())
    ]
