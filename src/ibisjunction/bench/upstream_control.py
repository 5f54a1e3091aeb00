"""HTTP endpoint on loopback that injects faults into a stand-in."""

import logging
from http import HTTPStatus
from typing import Any

from tornado.httpserver import HTTPServer
from tornado.web import Application, HTTPError, RequestHandler

from ibisjunction.bench.announcing import drain
from ibisjunction.bench.faults import (
    FAULT_CODEC,
    Fault,
    SetCrashTarget,
    SetFrozen,
    SetReport,
    SetShedding,
    SilenceConnections,
    StartDrain,
)
from ibisjunction.bench.run_records import DrainStarted
from ibisjunction.bench.stand_in import StandIn
from ibisjunction.peers.codec import CodecError

_logger = logging.getLogger(__name__)


async def apply_fault(stand_in: StandIn, fault: Fault) -> None:
    """Switch a fault on or off, or perform it once."""
    faults = stand_in.faults
    match fault:
        case SetFrozen(frozen=True):
            faults.thawed.clear()
        case SetFrozen():
            faults.thawed.set()
        case SetShedding(shedding=shedding):
            faults.is_shedding = shedding
        case SetReport(report=report):
            faults.report = report
        case SetCrashTarget(prefix=prefix):
            faults.crash_prefix = prefix
        case SilenceConnections():
            count = stand_in.connections.silence()
            _logger.info('%d connections silenced', count)
        case StartDrain():
            await _start_drain(stand_in)


async def _start_drain(stand_in: StandIn) -> None:
    stand_in.faults.is_draining = True
    if await drain(stand_in.profile):
        stand_in.writer.write(
            DrainStarted(stand_in.profile.upstream, stand_in.clock.now()),
        )


class _FaultHandler(RequestHandler):
    def initialize(self, stand_in: StandIn) -> None:
        self._stand_in = stand_in

    async def post(self) -> None:
        try:
            fault = FAULT_CODEC.decode(self.request.body)
        except CodecError as error:
            raise HTTPError(
                HTTPStatus.BAD_REQUEST,
                reason=str(error),
            ) from error
        await apply_fault(self._stand_in, fault)
        self.set_status(HTTPStatus.NO_CONTENT)


def make_control_server(stand_in: StandIn) -> HTTPServer:
    """Return the server of the control endpoint, not yet listening."""
    handler_arguments: dict[str, Any] = {'stand_in': stand_in}
    return HTTPServer(
        Application([('/faults', _FaultHandler, handler_arguments)])
    )
