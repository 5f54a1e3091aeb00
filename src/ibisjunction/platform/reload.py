"""Watches the settings file for changed seeds."""

import asyncio
import contextlib
import logging
from typing import Any, Final

from ibisjunction.coordination.messages import SeedsChanged
from ibisjunction.events import Event, log_event
from ibisjunction.mailbox import Mailbox
from ibisjunction.platform.settings import (
    PlatformSettings,
    PlatformSettingsError,
    load_platform_settings,
)

_logger = logging.getLogger(__name__)

#: The file is also polled, because it may change without a signal.
_POLL_INTERVAL_S: Final = 3.0


async def watch_seeds(
    settings: PlatformSettings,
    reload: asyncio.Event,
    mailbox: Mailbox[Any],
) -> None:
    """Post the seeds whenever the file changes them, until cancelled.

    Only the seeds can change while a process runs. A file that is missing or
    not valid is logged and ignored, because the current settings are still
    valid.
    """
    seeds = settings.node.seed_names
    while True:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_POLL_INTERVAL_S):
                await reload.wait()
        reload.clear()
        try:
            reloaded = load_platform_settings(is_control=settings.is_control)
        except PlatformSettingsError as error:
            log_event(
                _logger,
                Event.SETTINGS_REJECTED,
                logging.WARNING,
                detail=error,
            )
            continue
        if reloaded.node.seed_names != seeds:
            seeds = reloaded.node.seed_names
            log_event(_logger, Event.SETTINGS_RELOADED, seeds=seeds)
            mailbox.post(SeedsChanged(seeds))
