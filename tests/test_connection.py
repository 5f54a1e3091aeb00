"""Tests of the connection task and the pool against scripted upstreams."""

import asyncio
import unittest

from parameterized import parameterized

from ibisjunction.clock import ManualClock
from ibisjunction.mailbox import Mailbox
from ibisjunction.outcomes import Reason
from ibisjunction.settings import Address
from ibisjunction.upstreams.messages import (
    AnswerChunk,
    AnswerEnd,
    AnswerHead,
    BodyChunk,
    BodyEnd,
    Exchange,
    ExchangeFailed,
)
from ibisjunction.upstreams.pool import ConnectionPool
from ibisjunction.verdict import Verdict
from tests.scripted import (
    ScriptedUpstream,
    answer,
    answer_and_close,
    answer_and_reset,
)

_FAR_FUTURE_MS = 10**12
_STATUS_OK = b'HTTP/1.1 200 OK\r\n'
_ID = b'Ibis-Request-Id: r-1\r\n'
_OK = _STATUS_OK + _ID
_WHOLE = _OK + b'Content-Length: 2\r\n\r\nok'
_NO_ID = _STATUS_OK + b'Content-Length: 2\r\n\r\nok'
_OTHER_ID = _WHOLE.replace(b'r-1', b'r-0')
_NEXT = _WHOLE.replace(b'r-1', b'r-2')
_REFUSAL_HEAD = b'HTTP/1.1 503 Busy\r\nIbis-Verdict: not-run\r\n'
_REFUSAL = _REFUSAL_HEAD + _ID + b'Content-Length: 0\r\n\r\n'
_REFUSAL_NO_ID = _REFUSAL_HEAD + b'Content-Length: 0\r\n\r\n'
_OVERLONG = _OK + b'Content-Length: 2\r\n\r\nokay'
_TRUNCATED = _OK + b'Content-Length: 9\r\n\r\nok'
_CHUNKED = _OK + b'Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n'
_NO_LENGTH = _OK + b'\r\nok'
_TWO_LENGTHS = _OK + b'Content-Length: 2\r\nContent-Length: 3\r\n\r\nokk'
_EARLY_HINTS = b'HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n'
_CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'
_NO_CONTENT = b'HTTP/1.1 204 No Content\r\n' + _ID + b'\r\n'
_NOT_MODIFIED = (
    b'HTTP/1.1 304 Not Modified\r\n' + _ID + b'Content-Length: 9\r\n\r\n'
)
_HEADERS_ONLY = _OK + b'Content-Length: 9\r\n\r\n'
_CLOSING = _OK + b'Connection: close\r\nContent-Length: 2\r\n\r\nok'


def _exchange(
    method='GET', body=(), start_before_ms=_FAR_FUTURE_MS, request_id='r-1'
) -> Exchange:
    source: Mailbox = Mailbox()
    for part in body:
        source.post(part)
    headers = [('Host', 'x')]
    length = sum(len(part.chunk) for part in body if part != BodyEnd())
    if length:
        headers.append(('Content-Length', str(length)))
    if not body:
        source.post(BodyEnd())
    return Exchange(
        request_id=request_id,
        method=method,
        target='/k',
        headers=tuple(headers),
        start_before_ms=start_before_ms,
        body=source,
        answer_parts=Mailbox(4),
    )


async def _collect(exchange) -> list:
    received = []
    while not received or not isinstance(
        received[-1], AnswerEnd | ExchangeFailed
    ):
        received.append(await exchange.answer_parts.get())
    return received


async def _send(pool, address, exchange, **options) -> list:
    async with pool.borrow(
        address, exchange.request_id, **options
    ) as connection:
        connection.mailbox.post(exchange)
        return await _collect(exchange)


async def _send_and_test_reuse(script, exchange) -> tuple[list, int]:
    """Return the parts of the answer and the number of connections opened.

    A second exchange shows whether the connection of the first one is reused.
    """
    upstream = ScriptedUpstream(script)
    pool = ConnectionPool(ManualClock())
    async with upstream.run() as address:
        answer_parts = await _send(pool, address, exchange)
        following = _exchange(request_id='r-2')
        task = asyncio.create_task(_send(pool, address, following))
        await asyncio.wait({task}, timeout=0.1)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        await pool.close()
    return answer_parts, upstream.connections


def _describe(answer_parts) -> tuple[int, bytes, object]:
    status = sum(
        part.status for part in answer_parts if isinstance(part, AnswerHead)
    )
    body = b''.join(
        part.chunk for part in answer_parts if isinstance(part, AnswerChunk)
    )
    last_part = answer_parts[-1]
    if isinstance(last_part, ExchangeFailed):
        return status, body, (last_part.reason, last_part.verdict)
    return status, body, 'end'


_LOST = (Reason.CONNECTION_LOST, Verdict.MAY_HAVE_RUN)
_BAD_RAN = (Reason.BAD_ANSWER, Verdict.RAN)
_BAD_MAY_HAVE_RUN = (Reason.BAD_ANSWER, Verdict.MAY_HAVE_RUN)


async def _send_interim_answers(upstream, reader, writer) -> None:
    await upstream.read_head(reader)
    while True:
        writer.write(_EARLY_HINTS * 100)
        await writer.drain()


class AnswerTest(unittest.TestCase):
    """Guards against partial, foreign or overlong answers that are accepted.

    The last column is the number of connections after a second exchange: 1 if
    the connection was reused.
    """

    @parameterized.expand(
        [
            ('whole', 'GET', answer(_WHOLE), 200, b'ok', 'end', 1),
            ('no id', 'GET', answer(_NO_ID), 200, b'ok', 'end', 2),
            ('other id', 'GET', answer(_OTHER_ID), 0, b'',
             _BAD_MAY_HAVE_RUN, 2),
            ('too long', 'GET', answer(_OVERLONG), 200, b'', _BAD_RAN, 2),
            ('cut', 'GET', answer_and_close(_TRUNCATED), 200, b'ok',
             _LOST, 2),
            ('cut chunks', 'GET', answer_and_close(_CHUNKED), 200, b'',
             _LOST, 2),
            ('chunks', 'GET', answer(_CHUNKED + b'0\r\n\r\n'), 200, b'ok',
             'end', 1),
            ('no length', 'GET', answer_and_close(_NO_LENGTH), 0, b'',
             _BAD_RAN, 2),
            ('two lengths', 'GET', answer(_TWO_LENGTHS), 0, b'', _BAD_RAN, 2),
            ('1xx', 'GET', answer(_EARLY_HINTS + _WHOLE), 200, b'ok',
             'end', 1),
            ('100', 'GET', answer(_CONTINUE + _WHOLE), 200, b'ok', 'end', 1),
            ('204', 'GET', answer(_NO_CONTENT), 204, b'', 'end', 1),
            ('304', 'GET', answer(_NOT_MODIFIED), 304, b'', 'end', 1),
            ('HEAD', 'HEAD', answer(_HEADERS_ONLY), 200, b'', 'end', 1),
            ('HEAD with body', 'HEAD', answer(_TRUNCATED), 200, b'',
             _BAD_RAN, 2),
            ('header close', 'GET', answer(_CLOSING), 200, b'ok', 'end', 2),
            ('no answer', 'GET', answer_and_close(b''), 0, b'', _LOST, 2),
            ('reset', 'GET', answer_and_reset(), 0, b'', _LOST, 2),
            ('endless 1xx', 'GET', _send_interim_answers, 0, b'', _LOST, 2),
            ('not HTTP', 'GET', answer(b'hello\r\n\r\n'), 0, b'', _LOST, 2),
        ]
    )  # fmt: skip
    def test_answer(
        self, _name, method, script, status, body, end, connections
    ):
        answer_parts, opened = asyncio.run(
            _send_and_test_reuse(script, _exchange(method))
        )
        self.assertEqual(_describe(answer_parts), (status, body, end))
        self.assertEqual(opened, connections)


class BrokenHeadTest(unittest.TestCase):
    """Guards against an answer that breaks off in its head and passes as whole.

    Report of other operators: an upstream stopped in the middle of the head and
    closed; callers got a 200 with an empty or short body, framed as whole.
    """

    @parameterized.expand(
        [
            (f'{name}, {end.__name__}', text, end)
            for name, text in (
                ('length', _WHOLE),
                ('chunks', _CHUNKED),
                ('interim answer', _EARLY_HINTS + _WHOLE),
            )
            for end in (answer_and_close, answer_and_reset)
        ]
    )
    def test_cut_at_every_byte(self, _name, text, end):
        async def send_all():
            found = []
            for position in range(text.index(b'ok')):
                upstream = ScriptedUpstream(end(text[:position]))
                pool = ConnectionPool(ManualClock())
                async with upstream.run() as address:
                    parts = await _send(pool, address, _exchange())
                    await pool.close()
                found.append((position, _describe(parts)))
            return found

        end_of_head = text.index(b'\r\n\r\n', text.index(b'200')) + 4
        for position, (status, body, ending) in asyncio.run(send_all()):
            self.assertEqual(status, 200 if position >= end_of_head else 0)
            self.assertEqual((body, ending), (b'', _LOST))


class NothingWrittenTest(unittest.TestCase):
    """Guards against a false ``not-run``, and against bytes after the lease.

    A request that was not sent is reported as ``not-run``, and a request that
    is reported so has not reached the upstream.
    """

    def test_refused_connection(self):
        answer_parts = asyncio.run(_send_to_closed_port())
        self.assertEqual(
            (answer_parts[0].reason, answer_parts[0].verdict),
            (Reason.CONNECT_FAILED, Verdict.NOT_RUN),
        )

    def test_lease_ended(self):
        upstream = ScriptedUpstream(answer(_WHOLE))
        answer_parts = asyncio.run(_send_without_lease(upstream))
        self.assertEqual(
            answer_parts,
            [ExchangeFailed(Reason.NOT_LEASED, Verdict.NOT_RUN)],
        )
        self.assertEqual(upstream.requests, [])


async def _send_to_closed_port() -> list:
    server = await asyncio.start_server(lambda *_: None, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    server.close()
    await server.wait_closed()
    pool = ConnectionPool(ManualClock())
    return await _send(pool, Address('127.0.0.1', port), _exchange())


async def _send_without_lease(upstream) -> list:
    pool = ConnectionPool(ManualClock())
    async with upstream.run() as address:
        return await _send(pool, address, _exchange(start_before_ms=0))


async def _hang(upstream, reader, _writer) -> None:
    await upstream.read_head(reader)
    await reader.read()


async def _abandon_exchange(upstream) -> list:
    """Abandon an unanswered exchange; return the answer to a second one."""
    pool = ConnectionPool(ManualClock())
    async with upstream.run() as address:
        async with pool.borrow(address, 'r-1') as connection:
            connection.mailbox.post(_exchange())
            while not upstream.requests:
                await asyncio.sleep(0.001)
        answer_parts = await _send(pool, address, _exchange())
        await pool.close()
    return answer_parts


async def _abandon_before_sending(upstream) -> None:
    pool = ConnectionPool(ManualClock())
    async with upstream.run() as address:
        async with pool.borrow(address, 'r-1') as connection:
            connection.mailbox.post(_exchange())
        await asyncio.sleep(0.05)


class AbandonedExchangeTest(unittest.TestCase):
    """Guards against a request that is sent after its task has ended."""

    def test_not_sent(self):
        upstream = ScriptedUpstream(answer(_WHOLE))
        asyncio.run(_abandon_before_sending(upstream))
        self.assertEqual(upstream.requests, [])


class ReuseTest(unittest.TestCase):
    """Guards against an answer that is assigned to another request.

    It also guards against reuse of a connection that was idle for too long and
    may be dead.
    """

    def test_unfinished_exchange_is_not_reused(self):
        upstream = ScriptedUpstream(_hang, answer(_WHOLE))
        answer_parts = asyncio.run(_abandon_exchange(upstream))
        self.assertEqual(_describe(answer_parts), (200, b'ok', 'end'))
        self.assertEqual(upstream.connections, 2)

    def test_unsolicited_bytes_are_not_an_answer(self):
        upstream = ScriptedUpstream(_answer_twice, answer(_NEXT))
        answer_parts = asyncio.run(_send_twice(upstream, 0))
        self.assertEqual(_describe(answer_parts), (200, b'ok', 'end'))
        self.assertEqual(upstream.connections, 2)

    @parameterized.expand(
        [
            ('once, at limit', 1000, False, 1),
            ('once, over limit', 1001, False, 2),
            ('repeatable, at limit', 5000, True, 1),
            ('repeatable, over limit', 5001, True, 2),
        ]
    )
    def test_idle_time(self, _name, idle_ms, can_repeat, connections):
        upstream = ScriptedUpstream(answer(_WHOLE, _NEXT))
        asyncio.run(_send_twice(upstream, idle_ms, can_repeat=can_repeat))
        self.assertEqual(upstream.connections, connections)


async def _answer_twice(upstream, reader, writer) -> None:
    await upstream.read_head(reader)
    writer.write(_WHOLE)
    await writer.drain()
    await asyncio.sleep(0.02)
    writer.write(_WHOLE.replace(b'ok', b'no'))
    await writer.drain()
    await reader.read()


async def _send_twice(upstream, idle_ms, **options) -> list:
    clock = ManualClock()
    pool = ConnectionPool(clock)
    async with upstream.run() as address:
        await _send(pool, address, _exchange())
        clock.advance(idle_ms)
        if upstream.connections and idle_ms == 0:
            # Wait until the unsolicited bytes have arrived.
            await asyncio.sleep(0.1)
        following = _exchange(request_id='r-2')
        answer_parts = await _send(pool, address, following, **options)
        await pool.close()
    return answer_parts


class RepeatedAnswerTest(unittest.TestCase):
    """Guards against an earlier refusal that is taken for that of a later run.

    A faulty upstream may write a refusal once more on a kept connection. The
    last column is the number of connections.
    """

    @parameterized.expand(
        [
            ('same request again', 'r-1', (_REFUSAL, _REFUSAL + _WHOLE),
             (200, b'ok', 'end'), 2),
            ('other request', 'r-2', (_REFUSAL, _REFUSAL + _NEXT),
             (0, b'', _BAD_MAY_HAVE_RUN), 1),
            ('no id once more', 'r-2', (_REFUSAL, _REFUSAL_NO_ID + _NEXT),
             (0, b'', _BAD_MAY_HAVE_RUN), 1),
            ('no id from the start', 'r-2',
             (_REFUSAL_NO_ID, _REFUSAL_NO_ID + _NEXT), (200, b'ok', 'end'), 2),
        ]
    )  # fmt: skip
    def test_refusal_is_written_once_more(
        self, _name, request_id, texts, expected, connections
    ):
        whole = _WHOLE.replace(b'r-1', request_id.encode())
        upstream = ScriptedUpstream(answer(*texts), answer(whole))
        answer_parts = asyncio.run(_send_after_refusal(upstream, request_id))
        self.assertEqual(_describe(answer_parts), expected)
        self.assertEqual(upstream.connections, connections)


async def _send_after_refusal(upstream, request_id) -> list:
    """Return the answer to the second of two requests."""
    pool = ConnectionPool(ManualClock())
    async with upstream.run() as address:
        await _send(pool, address, _exchange())
        answer_parts = await _send(
            pool, address, _exchange(request_id=request_id)
        )
        await pool.close()
    return answer_parts


async def _answer_early(upstream, reader, writer) -> None:
    await upstream.read_head(reader)
    head = b'HTTP/1.1 409 Conflict\r\n' + _ID
    writer.write(head + b'Content-Length: 0\r\n\r\n')
    await writer.drain()
    await reader.read()


class EarlyAnswerTest(unittest.TestCase):
    """Guards against waiting for the request's body after the answer."""

    def test_answer_before_the_body(self):
        exchange = _exchange('POST', (BodyChunk(b'first'),))
        answer_parts, opened = asyncio.run(
            _send_and_test_reuse(_answer_early, exchange)
        )
        self.assertEqual(_describe(answer_parts), (409, b'', 'end'))
        self.assertEqual(opened, 2)
