"""Runs the tasks of several daemons in one event loop, without sockets.

Messages, calls to upstreams and requests are recorded in the order in which
they cross an interface. Time is a manual clock.
"""

import asyncio
import contextlib
import itertools

import msgspec

from ibisjunction.bench.grants import GrantTable
from ibisjunction.clock import ManualClock, in_seconds
from ibisjunction.control.codec import decode_command
from ibisjunction.control.effects import (
    Tick as ControlTick,
)
from ibisjunction.control.messages import (
    CommittedEntries,
    ProposeCommand,
    StateSnapshot,
)
from ibisjunction.control.protocol import (
    Snapshot,
)
from ibisjunction.control.roles import StoredState
from ibisjunction.control.task import OpenedLog
from ibisjunction.control.voters import list_initial_voters
from ibisjunction.daemon.tasks import (
    PEER_MESSAGES,
    build_tasks,
    make_context,
)
from ibisjunction.dispatch.messages import UpstreamSpeed
from ibisjunction.dispatch.task import Tick as DispatchTick
from ibisjunction.ledger.messages import PullRecords, RecordsPulled
from ibisjunction.ledger.task import Tick as LedgerTick
from ibisjunction.mailbox import Mailbox, run_task
from ibisjunction.membership.messages import Heartbeat, LeaseRenewal
from ibisjunction.membership.registration import build_registration
from ibisjunction.membership.task import HeartbeatDue
from ibisjunction.ownership.task import RenewalDue
from ibisjunction.peers.codec import Codec
from ibisjunction.peers.link import Received
from ibisjunction.routing.body import CopiedBody
from ibisjunction.routing.model import CallerRequest
from ibisjunction.routing.request import serve_request
from ibisjunction.services import RequestHead
from ibisjunction.upstreams.messages import (
    AnswerChunk,
    AnswerEnd,
    AnswerHead,
    BodyChunk,
    BodyEnd,
)
from ibisjunction.upstreams.protocol import (
    GrantCall,
    UpstreamUnreachableError,
)
from ibisjunction.verdict import Verdict
from tests.samples import make_settings

_SETTLE_ROUNDS = 60
#: These repeat without change; they would hide what a session shows.
_NOT_RECORDED = (
    Heartbeat,
    LeaseRenewal,
    PullRecords,
    RecordsPulled,
    UpstreamSpeed,
)


class Recorder:
    """The lines of one session."""

    def __init__(self) -> None:
        self.lines: list[str] = []

    def write(self, sender, receiver, message) -> None:
        kind = type(message).__name__
        self.lines.append(f'{sender} -> {receiver} {kind} {_show(message)}')

    def note(self, text) -> None:
        self.lines.append(f'# {text}')


def _show(message) -> str:
    """Return the fields of a message, with encoded commands spelled out."""
    match message:
        case ProposeCommand(proposal_id=proposal_id, command=command):
            return f'{proposal_id} {decode_command(command)}'
        case CommittedEntries(first_index=first_index, commands=commands):
            shown = [str(decode_command(command)) for command in commands]
            return f'{first_index} {shown}'
        case StateSnapshot(index=index):
            return f'{index}'
    return msgspec.json.encode(message).decode()


class SessionNetwork:
    """A peer network that delivers at once, through the codec."""

    def __init__(self, vm, hub) -> None:
        self._vm = vm
        self._hub = hub
        self.subscribers: dict[type, list[Mailbox]] = {}

    def subscribe(self, mailbox, *message_types) -> None:
        for message_type in message_types:
            self.subscribers.setdefault(message_type, []).append(mailbox)

    def set_address(self, vm, address) -> None:
        """Do nothing; every VM is reachable by name."""

    def send(self, vm, message) -> None:
        self._hub.deliver(self._vm, vm, message)


class SessionStore:
    """Files of a replica that are lost with the session."""

    def write(self, writes) -> None:
        """Count as durable at once."""

    def replace(self, change) -> None:
        """Count as durable at once."""


async def _run_at_once(function, *arguments):
    return function(*arguments)


def _open_log(settings) -> OpenedLog | None:
    if not settings.is_voter:
        return None
    snapshot = Snapshot(0, 0, list_initial_voters(settings), b'')
    stored = StoredState(0, '', snapshot, ())
    return OpenedLog(settings.vm, stored, SessionStore(), _run_at_once)


class SessionUpstreams:
    """Stand-ins that take grants and answer requests at once.

    ``unreachable`` holds the addresses that answer no call. A request to an
    address in ``slow`` is answered once the address is removed.
    """

    def __init__(self, recorder, clock) -> None:
        self._recorder = recorder
        self._clock = clock
        self._books: dict[str, GrantTable] = {}
        self._last_calls: dict[str, GrantCall] = {}
        self._delivered: dict[str, GrantCall] = {}
        self.unreachable: set[str] = set()
        self.slow: set[str] = set()

    def allows(self, address, service, shard, fence) -> bool:
        """Return whether a stand-in that checks fences accepts a request."""
        book = self._books.get(address, GrantTable())
        return book.allows(service, shard, fence, self._clock.now())

    async def call(self, address, call, _timeout_ms):
        if address in self.unreachable:
            raise UpstreamUnreachableError(f'{address}: no answer')
        self._delivered[address] = call
        book = self._books.setdefault(address, GrantTable())
        answer = book.accept(call, self._clock.now())
        if self._is_new(address, call):
            self._recorder.write(call.vm, address, call)
            self._recorder.write(address, call.vm, answer)
        return answer

    async def cancel(self, address, request_id, _timeout_ms) -> None:
        self._recorder.lines.append(f'cancel {request_id} -> {address}')

    async def replay(self, address) -> None:
        """Deliver the last call again, as a broken connection may do."""
        await self.call(address, self._delivered[address], 0)

    def _is_new(self, address, call) -> bool:
        """Return whether a call is more than a renewal of the last one."""
        content = msgspec.structs.replace(
            call,
            echo=min(call.echo or 0, 1),
            sequence=0,
        )
        last = self._last_calls.get(address)
        self._last_calls[address] = content
        return content != last

    @contextlib.asynccontextmanager
    async def borrow(self, address, *, can_repeat=True):
        connection = _SessionConnection(self._recorder, str(address), self)
        async with run_task(connection.run(), 'connection'):
            yield connection


class _SessionConnection:
    def __init__(self, recorder, address, upstreams) -> None:
        self._recorder = recorder
        self._address = address
        self._upstreams = upstreams
        self.is_open = True
        self.mailbox: Mailbox = Mailbox()

    async def run(self) -> None:
        exchange = await self.mailbox.get()
        lines = [f'{exchange.method} {exchange.target}']
        lines += [f'{name}: {text}' for name, text in exchange.headers]
        self._recorder.lines.append(f'request -> {self._address}')
        self._recorder.lines += [f'    {line}' for line in lines]
        body = b''
        part = await exchange.body.get()
        while isinstance(part, BodyChunk):
            body += part.chunk
            part = await exchange.body.get()
        self._recorder.lines.append(f'    body: {body.decode()}')
        while self._address in self._upstreams.slow:
            await asyncio.sleep(0)
        answer = f'answer to {exchange.target}'.encode()
        head = (('Content-Length', str(len(answer))),)
        await exchange.answers.put(AnswerHead(200, head))
        await exchange.answers.put(AnswerChunk(answer))
        await exchange.answers.put(AnswerEnd())


class SessionCaller:
    """A caller that records what it receives."""

    def __init__(self, recorder) -> None:
        self._recorder = recorder

    async def send_head(self, head, request_id) -> None:
        self._recorder.lines.append(
            f'answer {request_id} -> caller {head.status} {head.headers}'
            f' verdict {Verdict.RAN.value}',
        )

    async def send_chunk(self, chunk) -> None:
        self._recorder.lines.append(f'    body: {chunk.decode()}')

    def finish(self) -> None:
        self._recorder.lines.append('    end')

    def abort(self) -> None:
        self._recorder.lines.append('    aborted')


class Session:
    """Daemons in one event loop."""

    def __init__(self, vms, voters) -> None:
        self.recorder = Recorder()
        self.clock = ManualClock(1000)
        self.upstreams = SessionUpstreams(self.recorder, self.clock)
        self._codec = Codec(PEER_MESSAGES)
        self._numbers = itertools.count(1)
        self.paused: set[str] = set()
        self._kept: list[tuple[str, str, object]] = []
        self.networks = {vm: SessionNetwork(vm, self) for vm in vms}
        self.settings = {vm: make_settings(vm, voters) for vm in vms}
        self.tasks = {
            vm: build_tasks(
                self.settings[vm],
                1,
                self.clock,
                self.networks[vm],
                self.upstreams.call,
                self.upstreams.cancel,
                _open_log(self.settings[vm]),
            )
            for vm in vms
        }

    def deliver(self, sender, receiver, message) -> None:
        if not isinstance(message, _NOT_RECORDED):
            self.recorder.write(sender, receiver, message)
        if receiver in self.paused:
            self._kept.append((sender, receiver, message))
            return
        self._post(sender, receiver, message)

    def _post(self, sender, receiver, message) -> None:
        network = self.networks[receiver]
        decoded = self._codec.decode(self._codec.encode(message))
        for mailbox in network.subscribers.get(type(message), ()):
            mailbox.post(Received(sender, decoded))

    @contextlib.asynccontextmanager
    async def run(self):
        # Sleeps and timeouts of requests follow the manual clock as well.
        loop = asyncio.get_running_loop()
        loop.time = lambda: in_seconds(self.clock.now())
        async with contextlib.AsyncExitStack() as stack:
            for tasks in self.tasks.values():
                for task in tasks.all():
                    await stack.enter_async_context(
                        run_task(task.run(), type(task).__name__),
                    )
            await self._tick_voters()
            yield self

    async def _tick_voters(self) -> None:
        for tasks in self.tasks.values():
            if tasks.voter is not None:
                tasks.voter.mailbox.post(ControlTick())
        await self.settle()

    def resume(self, vm) -> None:
        """Deliver what a paused VM was sent."""
        self.paused.discard(vm)
        kept, self._kept = self._kept, []
        for sender, receiver, message in kept:
            if receiver == vm:
                self._post(sender, receiver, message)
            else:
                self._kept.append((sender, receiver, message))

    async def step(self, delta_ms=100) -> None:
        """Advance the clock and let every task look at it, unless paused."""
        self.clock.advance(delta_ms)
        for vm, tasks in self.tasks.items():
            if vm in self.paused:
                continue
            tasks.membership.mailbox.post(HeartbeatDue())
            await self.settle()
            tasks.ownership.mailbox.post(RenewalDue())
            tasks.dispatch.mailbox.post(DispatchTick())
            tasks.ledger.mailbox.post(LedgerTick())
            if tasks.voter is not None:
                tasks.voter.mailbox.post(ControlTick())
        await self.settle()

    async def settle(self) -> None:
        """Let the tasks run until no message is left."""
        for _ in range(_SETTLE_ROUNDS):
            await asyncio.sleep(0)

    async def register(self) -> None:
        """Register every VM."""
        for vm, tasks in self.tasks.items():
            command = build_registration(self.settings[vm], 1)
            await tasks.client.propose(command)

    async def request(self, vm, method, target, headers=(), body=b''):
        """Send one request through a VM and return its outcome."""
        request_id = f'request-{next(self._numbers)}'
        self.recorder.note(f'{request_id}: {method} {target} through {vm}')
        mailbox: Mailbox = Mailbox()
        if body:
            mailbox.post(BodyChunk(body))
        mailbox.post(BodyEnd())
        request = CallerRequest(
            request_id=request_id,
            head=RequestHead(method, target, dict(headers)),
            headers=tuple(headers),
            has_body=bool(body),
            body=CopiedBody(mailbox),
            caller=SessionCaller(self.recorder),
        )
        context = make_context(self.tasks[vm], self.clock, self.upstreams, 1)
        outcome = await serve_request(context, request)
        await self.settle()
        self.recorder.note(f'{request_id}: {outcome}')
        return outcome


def join_lines(session) -> str:
    """Return what a session recorded as the text of a golden file."""
    return '\n'.join((*session.recorder.lines, ''))
