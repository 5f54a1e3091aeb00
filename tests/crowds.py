"""Callers that are not under control, and the processes that they call.

A crowd opens its connections at once, sends what its kind says, and leaves
them open. The processes run on loopback addresses with limits of their own.
"""

import asyncio
import contextlib
import itertools
import json
import os
import random
import socket
import struct
import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path

import psutil

from ibisjunction.bench.deployment import run_deployment as run_daemons

#: Limits in the settings of the processes. 200 descriptors are reserved for
#: files of the platform.
MEMORY_MB = 90
MAX_OPEN_FILES = 400
MAX_DESCRIPTORS = MAX_OPEN_FILES - 200
MAX_BODY_BYTES = 8 * 1024 * 1024
MAX_HEADER_BYTES = 16_384
_BYTES_PER_MB = 1_000_000
_PIECE_BYTES = 65_536
_SAMPLE_S = 0.02
#: The crowd is in place when nothing is sent and read for this time.
_QUIET_S = 3
_MAX_CROWD_S = 120
_POLL_S = 0.1
_MAX_START_POLLS = 400
#: Attempts of an ordinary caller, one after another.
_ATTEMPTS = 30
_ATTEMPT_S = 5


@dataclass(frozen=True)
class BodiesCutShort:
    """Bodies with a length that stop a byte before their end."""

    connections: int = 24
    size: int = MAX_BODY_BYTES


@dataclass(frozen=True)
class ChunkedBodies:
    """Bodies in chunks, without the last one."""

    connections: int = 24
    chunks: int = 16_000
    chunk_bytes: int = 512


@dataclass(frozen=True)
class AwaitedBodies:
    """Bodies that are sent after ``100 Continue``, and stop before the end."""

    connections: int = 24
    size: int = MAX_BODY_BYTES


@dataclass(frozen=True)
class EndlessHeads:
    """Heads of nearly the largest size, without their last line."""

    connections: int = 240
    size: int = MAX_HEADER_BYTES - 1024


@dataclass(frozen=True)
class UnreadAnswers:
    """Requests, one behind another, whose answers nobody reads."""

    connections: int = 24
    requests: int = 3


@dataclass(frozen=True)
class BodiesBehindBodies:
    """Whole requests, with one behind them that stops before its end."""

    connections: int = 12
    size: int = MAX_BODY_BYTES
    whole_requests: int = 1


@dataclass(frozen=True)
class Server:
    """A port that a crowd calls, and what an ordinary caller asks of it."""

    pid: int
    host: str
    port: int
    method: str
    path: str
    ordinary_path: str
    ordinary_status: int = 200


@dataclass
class Peaks:
    """What a process used at most while a crowd called it."""

    memory_mb: float = 0
    descriptors: int = 0
    is_alive: bool = True


class Crowd:
    """Connections that stay open until the end of :meth:`run`."""

    def __init__(self, kind, server) -> None:
        self._kind = kind
        self._server = server
        self._progress = 0
        self._writers: list[asyncio.StreamWriter] = []

    @contextlib.asynccontextmanager
    async def run(self):
        """Open the connections, and keep them open during the block."""
        tasks = [
            asyncio.create_task(self._call())
            for _ in range(self._kind.connections)
        ]
        try:
            await self._wait_until_quiet(tasks)
            yield
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            for writer in self._writers:
                writer.transport.abort()

    async def _wait_until_quiet(self, tasks) -> None:
        until = time.monotonic() + _MAX_CROWD_S
        seen, since = (-1, -1), time.monotonic()
        while time.monotonic() < until and time.monotonic() < since + _QUIET_S:
            progress = self._progress, count_unread(self._server)
            if progress != seen:
                seen, since = progress, time.monotonic()
            if all(task.done() for task in tasks):
                return
            await asyncio.sleep(_POLL_S)

    async def _call(self) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            reader, writer = await asyncio.open_connection(
                self._server.host, self._server.port, limit=_PIECE_BYTES
            )
            self._writers.append(writer)
            await self._send(reader, writer)
            # Without a reader, the bytes of answers stay where they are.
            await asyncio.Event().wait()

    async def _send(self, reader, writer) -> None:
        if isinstance(self._kind, UnreadAnswers):
            # The transport of the crowd must not read ahead.
            writer.transport.pause_reading()
        for piece in self._list_pieces():
            writer.write(piece)
            await writer.drain()
            self._progress += len(piece)
            if isinstance(self._kind, AwaitedBodies) and piece[:1] == b'P':
                await reader.readuntil(b'\r\n\r\n')

    def _list_pieces(self):
        """Yield what is sent on one connection."""
        match self._kind:
            case BodiesCutShort(size=size):
                yield self._head(size)
                yield from _list_body_pieces(size - 1)
            case ChunkedBodies(chunks=chunks, chunk_bytes=chunk_bytes):
                yield self._head(None)
                chunk = b'%x\r\n%s\r\n' % (chunk_bytes, b'x' * chunk_bytes)
                yield from itertools.repeat(chunk * 1000, chunks // 1000)
            case AwaitedBodies(size=size):
                yield self._head(size, 'Expect: 100-continue')
                yield from _list_body_pieces(size - 1)
            case EndlessHeads(size=size):
                yield self._head(0)[:-2]
                yield b'X-Field: ' + b'x' * size
            case UnreadAnswers(requests=requests):
                yield self._head(0) * requests
            case BodiesBehindBodies(size=size, whole_requests=whole_requests):
                for _ in range(whole_requests):
                    yield self._head(size)
                    yield from _list_body_pieces(size)
                yield self._head(size)
                yield from _list_body_pieces(size - 1)

    def _head(self, size, *lines) -> bytes:
        body = (
            'Transfer-Encoding: chunked'
            if size is None
            else f'Content-Length: {size}'
        )
        return '\r\n'.join(
            (
                f'{self._server.method} {self._server.path} HTTP/1.1',
                'Host: crowd.example',
                f'Attempt-Id: {random.getrandbits(60):x}',
                'Deadline-Ms: 60000',
                body,
                *lines,
                '',
                '',
            )
        ).encode()


def _list_body_pieces(size):
    piece = bytes(_PIECE_BYTES)
    for _ in range(size // _PIECE_BYTES):
        yield piece
    yield piece[: size % _PIECE_BYTES]


async def ask(server) -> int:
    """Send an ordinary request on new connections; return the last status.

    As an ordinary caller does, it asks again after a refusal and after a
    closed connection.
    """
    status = 0
    for _ in range(_ATTEMPTS):
        with contextlib.suppress(
            OSError, TimeoutError, asyncio.IncompleteReadError
        ):
            async with asyncio.timeout(_ATTEMPT_S):
                status = await ask_once(
                    server.host,
                    server.port,
                    'GET',
                    server.ordinary_path,
                )
        if status == server.ordinary_status:
            return status
        await asyncio.sleep(_POLL_S)
    return status


async def ask_once(host, port, method, path, body=b'', limit_ms=5000) -> int:
    """Send one request, read its whole answer and return the status."""
    head = (
        f'{method} {path} HTTP/1.1\r\nHost: crowd.example\r\n'
        f'Attempt-Id: {random.getrandbits(60):x}\r\nDeadline-Ms: {limit_ms}\r\n'
        f'Connection: close\r\nContent-Length: {len(body)}\r\n\r\n'
    )
    reader, writer = await asyncio.open_connection(host, port)
    try:
        writer.write(head.encode() + body)
        status = int((await reader.readuntil(b'\r\n\r\n')).split()[1])
        await reader.read()
    finally:
        writer.transport.abort()
    return status


@contextlib.asynccontextmanager
async def watch(server):
    """Record the peaks of a process during the block."""
    peaks = Peaks()
    task = asyncio.create_task(_sample(server, peaks))
    try:
        yield peaks
    finally:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)


async def _sample(server, peaks) -> None:
    process = psutil.Process(server.pid)
    while process.is_running() and process.status() != psutil.STATUS_ZOMBIE:
        memory = process.memory_info()
        used = memory.rss - memory.shared + count_unread(server)
        peaks.memory_mb = max(peaks.memory_mb, used / _BYTES_PER_MB)
        peaks.descriptors = max(peaks.descriptors, process.num_fds())
        await asyncio.sleep(_SAMPLE_S)
    peaks.is_alive = False


def count_unread(server) -> int:
    """Return the bytes that arrived at a port and were not read yet."""
    packed = struct.unpack('=I', socket.inet_aton(server.host))[0]
    local = f'{packed:08X}:{server.port:04X}'
    lines = Path('/proc/net/tcp').read_text().splitlines()
    fields = (line.split() for line in lines if local in line)
    return sum(
        int(field[4].split(':')[1], 16)
        for field in fields
        if field[1] == local and field[3] == '01'
    )


@dataclass(frozen=True)
class Size:
    """Limits in the settings of the processes and of the operators."""

    memory_mb: int = MEMORY_MB
    max_body_bytes: int = MAX_BODY_BYTES
    max_header_bytes: int = MAX_HEADER_BYTES


class Deployment:
    """One control and one entry process, and an upstream in the test."""

    def __init__(self, folder, answer_bytes, size) -> None:
        self._folder = folder
        self._size = size
        self._answer = bytes(answer_bytes)
        self._processes: dict[str, subprocess.Popen] = {}
        net = f'127.{random.randint(20, 250)}.{random.randint(1, 250)}'
        self._control = f'{net}.1'
        self._entry = f'{net}.2'
        self._upstream = f'{net}.3'
        self._first_port = random.randint(20_000, 29_000)
        self._upstream_port = 0

    def server(self, name) -> Server:
        """Return one of the ports of the processes."""
        first = self._first_port
        entry, control = self._processes['entry'], self._processes['control']
        update = '/Config.Update'
        return {
            'entry callers': Server(
                entry.pid, self._entry, first + 3, 'POST', '/d/x', '/d/small'
            ),
            'entry readiness': Server(
                entry.pid,
                self._entry,
                first + 4,
                'POST',
                '/readiness',
                '/readiness',
            ),
            'entry metrics': Server(
                entry.pid, self._entry, 9464, 'POST', '/metrics', '/metrics'
            ),
            'control calls': Server(
                control.pid,
                self._control,
                first + 2,
                'POST',
                update,
                '/Config.Describe',
            ),
            'control metrics': Server(
                control.pid, self._control, 9465, 'POST', '/metrics', '/metrics'
            ),
        }[name]

    @contextlib.asynccontextmanager
    async def run(self):
        """Start everything, and stop it after the block."""
        server = await asyncio.start_server(self._serve, self._upstream, 0)
        self._upstream_port = server.sockets[0].getsockname()[1]
        check_ins = asyncio.create_task(self._check_in_forever())
        self._start('control', self._control)
        self._start('entry', self._entry)
        try:
            yield await self._prepare()
        finally:
            check_ins.cancel()
            await asyncio.gather(check_ins, return_exceptions=True)
            server.close()
            for process in self._processes.values():
                process.kill()
                process.wait()

    async def _prepare(self):
        await self._publish()
        await self._wait_until_served()
        return self

    def _start(self, role, host) -> None:
        path = self._folder / f'{role}.toml'
        path.write_text(self._format_settings(role, host))
        with (self._folder / f'{role}.log').open('wb') as log:
            self._processes[role] = subprocess.Popen(
                [sys.executable, '-m', 'ibisjunction.platform', role],
                env={**os.environ, 'IBISJUNCTION_SETTINGS': str(path)},
                stdout=log,
                stderr=log,
            )

    def _format_settings(self, role, host) -> str:
        first = self._first_port
        bind = (
            f'ControlPlane = "{host}:{first + 2}"'
            if role == 'control'
            else f'Frontend = "{host}:{first + 3}"\n'
            f'Readiness = "{host}:{first + 4}"'
        )
        return '\n'.join(
            (
                '[Self]',
                f'Ip = "{host}"',
                'Zone = "zone-a"',
                'Bootstrap = true',
                f'DataDir = "{self._folder / role}"',
                '[Self.Limits]',
                f'MemoryMb = {self._size.memory_mb}',
                f'MaxOpenFiles = {MAX_OPEN_FILES}',
                '[Network]',
                f'InternalPortRange = [{first}, {first + 1}]',
                f'SeedNodes = ["{self._control}:{first + 2}"]',
                '[Network.BindAddresses]',
                f'{bind}',
                '[Terms.FaultTolerance]',
                'Machines = 0',
                '',
            )
        )

    async def _publish(self) -> None:
        """Send the configuration until the control process accepts it."""
        route = {
            'Name': 'r',
            'Host': 'crowd.example',
            'PathPrefix': '/d/',
            'Type': 'safe',
            'TimeoutS': 60,
            'TargetLatencyS': 60,
            'Priority': 0,
            'MaxAttempts': 1,
            'Service': 'desk',
            'Version': 'r1',
        }
        service = {
            'Name': 'desk',
            'HealthCheckPath': '/health',
            'MaxConnections': 500,
            'Protocol': 'h1',
            'Tls': False,
            'Version': 'r1',
        }
        limits = {
            'MaxHeaderBytes': self._size.max_header_bytes,
            'MaxBodyBytes': self._size.max_body_bytes,
            'HeaderTimeoutS': 30,
            'IdleTimeoutS': 60,
            'Version': 'r1',
        }
        update = {
            'Upsert': {
                'Routes': _encode_rows(route),
                'Services': _encode_rows(service),
                'Limits': limits,
            },
            'Remove': {},
        }
        await self._repeat('POST', '/Config.Update', update)

    async def _repeat(self, method, path, body) -> None:
        """Call the control process until it answers with success."""
        for _ in range(_MAX_START_POLLS):
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                status = await ask_once(
                    self._control,
                    self._first_port + 2,
                    method,
                    path,
                    json.dumps(body).encode(),
                )
                if status == 200:
                    return
            await asyncio.sleep(_POLL_S)
        raise AssertionError(f'{path}: no success')

    async def _wait_until_served(self) -> None:
        server = self.server('entry callers')
        for _ in range(_MAX_START_POLLS):
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                status = await ask_once(
                    server.host, server.port, 'GET', '/d/small'
                )
                if status == 200:
                    return
            await asyncio.sleep(_POLL_S)
        raise AssertionError('the entry process serves no request')

    async def _check_in_forever(self) -> None:
        born = int(time.time() * 1000)
        number = 0
        while True:
            number += 1
            body = {
                'Address': f'{self._upstream}:{self._upstream_port}',
                'Info': {
                    'Service': 'desk',
                    'Version': 'v1',
                    'Zone': 'zone-a',
                    'Capacity': 100,
                },
                'Status': {
                    'State': 'ready',
                    'SequenceNumber': number,
                    'ColdRemainingS': 0,
                },
                'born': born,
            }
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                await ask_once(
                    self._control,
                    self._first_port + 2,
                    'POST',
                    '/Instances.Heartbeat/i-1',
                    json.dumps(body).encode(),
                )
            await asyncio.sleep(0.5)

    async def _serve(self, reader, writer) -> None:
        """Answer requests; only those for ``/d/small`` get a short answer."""
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                await _discard_body(reader, head)
                body = b'ok' if b'/d/small' in head else self._answer
                writer.write(_format_answer(head, len(body)))
                writer.write(body)
                await writer.drain()
        writer.transport.abort()


async def _discard_body(reader, head) -> None:
    left = int(_find_header(head, b'content-length') or 0)
    while left:
        left -= len(await reader.readexactly(min(left, _PIECE_BYTES)))


def _format_answer(head, size) -> bytes:
    attempt = _find_header(head, b'attempt-id') or b''
    return (
        b'HTTP/1.1 200 OK\r\nResponse-Signature: s\r\nAttempt-Id: %s\r\n'
        b'Content-Length: %d\r\n\r\n' % (attempt, size)
    )


def _find_header(head, name) -> bytes | None:
    for line in head.split(b'\r\n'):
        field, _, text = line.partition(b':')
        if field.lower() == name:
            return text.strip()
    return None


def _encode_rows(item) -> dict:
    return {'Columns': list(item), 'Rows': [list(item.values())]}


@contextlib.asynccontextmanager
async def run_server(name, answer_bytes, size=None):
    """Run the processes of a server during the block, and yield the server."""
    if name.startswith('daemon'):
        with run_daemons(1) as daemons:
            server = _find_daemon_server(name, daemons)
            for _ in range(_MAX_START_POLLS):
                if await ask(server) == server.ordinary_status:
                    break
            yield server
        return
    with tempfile.TemporaryDirectory(prefix='ibisjunction-') as folder:
        deployment = Deployment(Path(folder), answer_bytes, size or Size())
        async with deployment.run():
            yield deployment.server(name)


def _find_daemon_server(name, daemons) -> Server:
    """Return a port of the only daemon of a deployment in the first form."""
    vm = daemons.vms[0]
    pid = daemons.processes[vm.vm].pid
    if name == 'daemon callers':
        host, _, port = vm.http.rpartition(':')
        return Server(pid, host, int(port), 'POST', '/x/k', '/x/k', 404)
    host, _, port = vm.admin.rpartition(':')
    return Server(pid, host, int(port), 'POST', '/v1/revisions', '/ready')
