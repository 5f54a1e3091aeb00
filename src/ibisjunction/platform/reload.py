"""Notices that the settings file has changed."""

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

#: The file may change without a signal.
_LOOK_EVERY_S: Final = 3.0


async def watch_seeds(
    settings: PlatformSettings,
    reload: asyncio.Event,
    mailbox: Mailbox[Any],
) -> None:
    """Post the seeds of a changed file until cancelled.

    Only the seeds can change while a process runs. A file that can't be read
    is ignored, because the settings in use are still valid.
    """
    seeds = settings.node.seed_names
    while True:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_LOOK_EVERY_S):
                await reload.wait()
        reload.clear()
        try:
            found = load_platform_settings(is_control=settings.is_control)
        except PlatformSettingsError as error:
            log_event(
                _logger,
                Event.SETTINGS_REJECTED,
                logging.WARNING,
                detail=error,
            )
            continue
        if found.node.seed_names != seeds:
            seeds = found.node.seed_names
            log_event(_logger, Event.SETTINGS_RELOADED, seeds=seeds)
            mailbox.post(SeedsChanged(seeds))
