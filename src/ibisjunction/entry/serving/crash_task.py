"""Finds out whether upstreams that lost a request have crashed."""

import asyncio
import contextlib
from collections.abc import Iterable
from typing import Any, Final

from ibisjunction.clock import in_seconds
from ibisjunction.entry.serving.crashes import CrashSuspects, LostRun
from ibisjunction.entry.tickets.messages import CrashRecorded
from ibisjunction.mailbox import Mailbox
from ibisjunction.settings.loader import parse_address

#: Time from the loss of a request until its upstream is asked: a process that
#: ends closes its connections and its listening socket one after the other.
_PROBE_DELAY_MS: Final = 100
_PROBE_TIMEOUT_MS: Final = 500


class CrashTask:
    """Opens a connection to each upstream that may have crashed."""

    def __init__(
        self,
        suspects: CrashSuspects,
        mailbox: Mailbox[LostRun],
        reporter: Mailbox[Any],
    ) -> None:
        """Share the record of crashes with the requests of this VM.

        :param reporter: gets :class:`CrashRecorded` for the crashes that are
            to be reported.
        """
        self._mailbox = mailbox
        self._suspects = suspects
        self._reporter = reporter

    async def run(self) -> None:
        """Handle lost requests until cancelled."""
        while True:
            first = await self._mailbox.get()
            await asyncio.sleep(in_seconds(_PROBE_DELAY_MS))
            await self.check((first, *self._mailbox.take_queued()))

    async def check(self, lost_runs: Iterable[LostRun]) -> None:
        """Record the crashes among lost requests."""
        by_address: dict[str, list[LostRun]] = {}
        for lost in lost_runs:
            if self._suspects.may_have_crashed(lost):
                by_address.setdefault(lost.upstream.address, []).append(lost)
        refusals = await asyncio.gather(*map(_refuses, by_address))
        for lost_there, is_refused in zip(
            by_address.values(), refusals, strict=True
        ):
            for lost in lost_there if is_refused else ():
                self._suspects.record_crash(lost)
        if any(refusals):
            self._reporter.post(CrashRecorded())


async def _refuses(address: str) -> bool:
    """Return whether nothing listens at an address.

    An address that does not answer at all may be behind a cut, and proves
    nothing.
    """
    parsed = parse_address(address)
    try:
        async with asyncio.timeout(in_seconds(_PROBE_TIMEOUT_MS)):
            _, writer = await asyncio.open_connection(parsed.host, parsed.port)
    except ConnectionRefusedError:
        return True
    except (OSError, TimeoutError):
        return False
    writer.close()
    with contextlib.suppress(OSError):
        await writer.wait_closed()
    return False
