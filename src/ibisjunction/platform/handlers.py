"""HTTP handlers for readiness checks, check-ins, operators and metrics."""

from http import HTTPStatus
from typing import Any, Final

from tornado.web import Application, RequestHandler

from ibisjunction.coordination.calls import (
    Call,
    CallAnswer,
    ChangeItems,
    CheckedIn,
    Depart,
    EndEvacuation,
    Invalid,
    ItemsRead,
    ReadItems,
    StartEvacuation,
    Unavailable,
)
from ibisjunction.coordination.messages import LocalCall
from ibisjunction.entry.serving.requests import RequestProcessor
from ibisjunction.fleet.report import ReadState
from ibisjunction.mailbox import Mailbox
from ibisjunction.metrics import ReadMetrics
from ibisjunction.platform.bodies import InvalidBodyError
from ibisjunction.platform.check_ins import (
    decode_check_in,
    decode_departure,
    encode_checked_in,
)
from ibisjunction.platform.items import decode_update, encode_items
from ibisjunction.settings import Address

_JSON: Final = 'application/json'


def make_readiness_app(processor: RequestProcessor) -> Application:
    """Return the application that answers the balancer's readiness checks."""
    return Application(
        [('/readiness', _Readiness, {'processor': processor})],
        log_function=_skip_access_log,
    )


def make_control_app(mailbox: Mailbox[Any], address: Address) -> Application:
    """Return the application that upstreams and operators call.

    :param mailbox: mailbox of the task that answers calls.
    :param address: address at which this VM accepts calls; the port is the
        same on every control VM.
    """
    options = {'mailbox': mailbox, 'address': address}
    return Application(
        [
            ('/Instances.Heartbeat/(.+)', _CheckIn, options),
            ('/Instances.Deregister/(.+)', _Departure, options),
            ('/Config.Update', _Update, options),
            ('/Config.Describe', _Describe, options),
            ('/Evacuations.Start/(.+)', _EvacuationStart, options),
            ('/Evacuations.Finish/(.+)', _EvacuationEnd, options),
        ],
        log_function=_skip_access_log,
    )


def make_metrics_app(metrics: Mailbox[Any], state: Mailbox[Any]) -> Application:
    """Return the application that serves metrics and the fleet state.

    :param metrics: mailbox of the task that owns the metrics.
    :param state: mailbox of the task that owns the copy of the fleet state.
    """
    return Application(
        [
            ('/metrics', _Metrics, {'mailbox': metrics}),
            ('/state', _State, {'mailbox': state}),
        ],
        log_function=_skip_access_log,
    )


class _Metrics(RequestHandler):
    def initialize(self, mailbox: Mailbox[Any]) -> None:
        self._mailbox = mailbox

    async def get(self) -> None:
        reply: Mailbox[bytes] = Mailbox()
        self._mailbox.post(ReadMetrics(reply))
        self.set_header('Content-Type', 'text/plain; version=0.0.4')
        self.finish(await reply.get())


class _State(RequestHandler):
    def initialize(self, mailbox: Mailbox[Any]) -> None:
        self._mailbox = mailbox

    async def get(self) -> None:
        reply: Mailbox[bytes] = Mailbox()
        self._mailbox.post(ReadState(reply))
        self.set_header('Content-Type', _JSON)
        self.finish(await reply.get())


class _Readiness(RequestHandler):
    def initialize(self, processor: RequestProcessor) -> None:
        self._processor = processor

    def get(self) -> None:
        is_ready = self._processor.is_ready
        self.set_status(
            HTTPStatus.OK if is_ready else HTTPStatus.SERVICE_UNAVAILABLE,
        )


class _ControlCall(RequestHandler):
    """Forwards a call to the task that answers it and writes the answer."""

    def initialize(self, mailbox: Mailbox[Any], address: Address) -> None:
        # Bodies are JSON or ignored, whatever type they declare. Tornado would
        # parse those that declare a form, and refuse the call if that fails.
        self.request.headers.pop('Content-Type', None)
        self._mailbox = mailbox
        self._address = address

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Answer errors in JSON, like all other answers."""
        self._write_json_error(status_code, self._reason)

    async def _forward_call(self, call: Call) -> None:
        reply: Mailbox[CallAnswer] = Mailbox()
        self._mailbox.post(LocalCall(call, reply))
        match await reply.get():
            case Invalid(detail=detail):
                self._write_json_error(HTTPStatus.BAD_REQUEST, detail)
            case Unavailable(detail=detail):
                self._write_json_error(HTTPStatus.SERVICE_UNAVAILABLE, detail)
            case CheckedIn() as checked_in:
                host = checked_in.endpoint.rpartition(':')[0]
                endpoint = f'{host or self._address.host}:{self._address.port}'
                self._write_json(encode_checked_in(checked_in, endpoint))
            case ItemsRead(items=items):
                self._write_json(encode_items(items))
            case _:
                self._write_json(b'{}')

    def _write_json(self, body: bytes) -> None:
        self.set_header('Content-Type', _JSON)
        self.finish(body)

    def _write_json_error(self, status: int, detail: str) -> None:
        self.set_status(status)
        self.finish({'Error': detail})


class _CheckIn(_ControlCall):
    async def post(self, upstream: str) -> None:
        try:
            call = decode_check_in(upstream, self.request.body)
        except InvalidBodyError as error:
            self._write_json_error(HTTPStatus.BAD_REQUEST, str(error))
            return
        await self._forward_call(call)


class _Departure(_ControlCall):
    async def post(self, upstream: str) -> None:
        try:
            born = decode_departure(self.request.body)
        except InvalidBodyError as error:
            self._write_json_error(HTTPStatus.BAD_REQUEST, str(error))
            return
        await self._forward_call(Depart(upstream, born))


class _Update(_ControlCall):
    async def post(self) -> None:
        try:
            update = decode_update(self.request.body)
        except InvalidBodyError as error:
            self._write_json_error(HTTPStatus.BAD_REQUEST, str(error))
            return
        await self._forward_call(ChangeItems(update))


class _Describe(_ControlCall):
    async def get(self) -> None:
        await self._forward_call(ReadItems())


class _EvacuationStart(_ControlCall):
    # An order has no body; one that is sent is not read.
    async def post(self, failure_domain: str) -> None:
        await self._forward_call(StartEvacuation(failure_domain))


class _EvacuationEnd(_ControlCall):
    async def post(self, failure_domain: str) -> None:
        await self._forward_call(EndEvacuation(failure_domain))


def _skip_access_log(handler: RequestHandler) -> None:
    """Suppress the log line per call; decisions are logged as events."""
