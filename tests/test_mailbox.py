"""Tests of mailboxes and of the lifetime of tasks."""

import asyncio
import unittest

from parameterized import parameterized

from ibisjunction.mailbox import Mailbox, run_task


class MailboxTest(unittest.IsolatedAsyncioTestCase):
    """Guards against unbounded queues and senders that block forever."""

    async def test_put_waits_while_full(self):
        mailbox: Mailbox = Mailbox(capacity=1)
        await mailbox.put(1)
        waiting = asyncio.ensure_future(mailbox.put(2))
        await asyncio.sleep(0)
        self.assertFalse(waiting.done())
        self.assertEqual(await mailbox.get(), 1)
        await waiting
        self.assertEqual(await mailbox.get(), 2)

    async def test_close_releases_senders(self):
        mailbox: Mailbox = Mailbox(capacity=1)
        await mailbox.put(1)
        waiting = asyncio.ensure_future(mailbox.put(2))
        mailbox.close()
        await waiting


async def _end() -> None:
    await asyncio.sleep(0)


async def _fail() -> None:
    raise ValueError('broken')


async def _wait() -> None:
    await asyncio.Event().wait()


class RunTaskTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a daemon that keeps running after a task has failed."""

    @parameterized.expand(
        [('ends', _end, False), ('fails', _fail, True), ('runs', _wait, False)],
    )
    async def test_failure_is_reported(self, _name, function, is_failed):
        failed = asyncio.Event()
        async with run_task(function(), 'task', failed):
            for _ in range(3):
                await asyncio.sleep(0)
        self.assertEqual(failed.is_set(), is_failed)
