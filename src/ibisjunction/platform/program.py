"""Runs the program that ``python -m ibisjunction.platform`` starts."""

import asyncio
import gc
import signal
import sys
from collections.abc import Callable, Coroutine
from typing import Any, Final

from ibisjunction.bodies.allocator import map_large_blocks
from ibisjunction.bodies.http_server import BoundedHttpServer
from ibisjunction.logs import log_to_stdout
from ibisjunction.mailbox import run_task
from ibisjunction.platform.checks import CHECKS, check_files
from ibisjunction.platform.reload import watch_seeds
from ibisjunction.platform.settings import (
    PlatformSettings,
    PlatformSettingsError,
    find_missing_addresses,
    load_platform_settings,
)
from ibisjunction.settings.loader import parse_address

#: Must match the ports in ``deploy/system.toml``.
ENTRY_METRICS_PORT: Final = 9464
CONTROL_METRICS_PORT: Final = 9465
#: Bodies of checks and of reads of metrics, which need none.
CHECK_BODY_BYTES: Final = 65_536
_STOP_SIGNALS: Final = (signal.SIGTERM, signal.SIGINT)

#: Runs a process until it is stopped, and returns whether it failed.
Role = Callable[[PlatformSettings], Coroutine[Any, Any, bool]]


async def _run_entry(settings: PlatformSettings) -> bool:
    """Run an entry process until it is stopped; return whether it failed."""
    # Each role imports only what it needs, to save processor time at start.
    from ibisjunction.nodes.entry import run_entry
    from ibisjunction.platform.bodies import HEADERS
    from ibisjunction.platform.handlers import (
        make_metrics_app,
        make_readiness_app,
    )

    failed = asyncio.Event()
    stop, reload = _catch_signals(failed)
    caller_address = parse_address(settings.caller_address)
    async with run_entry(
        settings.node, caller_address, HEADERS, failed
    ) as node:
        max_connections = settings.node.max_check_connections
        readiness_server = BoundedHttpServer(
            make_readiness_app(node.processor),
            max_connections=max_connections,
            body_room_bytes=CHECK_BODY_BYTES,
        )
        address = parse_address(settings.readiness_address)
        readiness_server.listen(address.port, address.host)
        metrics_server = BoundedHttpServer(
            make_metrics_app(node.metrics, node.membership.mailbox),
            max_connections=max_connections,
            body_room_bytes=CHECK_BODY_BYTES,
        )
        metrics_server.listen(ENTRY_METRICS_PORT, address.host)
        seed_watcher = watch_seeds(settings, reload, node.membership.mailbox)
        async with run_task(seed_watcher, 'settings', failed):
            await stop.wait()
        if not failed.is_set():
            await node.drain()
    return failed.is_set()


async def _run_control(settings: PlatformSettings) -> bool:
    """Run a control process until it is stopped; return whether it failed."""
    from ibisjunction.nodes.control import run_control
    from ibisjunction.platform.handlers import (
        make_control_app,
        make_metrics_app,
    )

    failed = asyncio.Event()
    stop, reload = _catch_signals(failed)
    address = parse_address(settings.control_address)
    async with run_control(settings.node, failed) as node:
        control_server = BoundedHttpServer(
            make_control_app(node.mailbox, address),
            max_connections=settings.node.max_call_connections,
        )
        control_server.listen(address.port, address.host)
        metrics_server = BoundedHttpServer(
            make_metrics_app(node.mailbox, node.mailbox),
            max_connections=settings.node.max_check_connections,
            body_room_bytes=CHECK_BODY_BYTES,
        )
        metrics_server.listen(CONTROL_METRICS_PORT, address.host)
        seed_watcher = watch_seeds(settings, reload, node.mailbox)
        async with run_task(seed_watcher, 'settings', failed):
            await stop.wait()
        if not failed.is_set():
            await node.leave()
        control_server.stop()
    return failed.is_set()


def _catch_signals(
    failed: asyncio.Event,
) -> tuple[asyncio.Event, asyncio.Event]:
    """Return two events: stop the process, and reload its settings.

    Signals set them. The failure of a task also sets the stop event.
    """
    stop = asyncio.Event()
    reload = asyncio.Event()
    loop = asyncio.get_running_loop()
    for stop_signal in _STOP_SIGNALS:
        loop.add_signal_handler(stop_signal, stop.set)
    loop.add_signal_handler(signal.SIGHUP, reload.set)
    failure_waiter = loop.create_task(failed.wait())
    failure_waiter.add_done_callback(lambda _: stop.set())
    return stop, reload


async def _run_role(role: Role, settings: PlatformSettings) -> bool:
    """Run a role; ignore its signals once it has ended.

    The event loop restores their default actions as it closes, so that a late
    reload would end the process by a signal although all its work is done. A
    block alone is not enough: threads of libraries have masks of their own.
    """
    try:
        return await role(settings)
    finally:
        loop = asyncio.get_running_loop()
        signals = (*_STOP_SIGNALS, signal.SIGHUP)
        signal.pthread_sigmask(signal.SIG_BLOCK, signals)
        for number in signals:
            loop.remove_signal_handler(number)
            signal.signal(number, signal.SIG_IGN)


def run_program(arguments: list[str]) -> int:
    """Run the role that the first argument names; return the exit code."""
    roles = {'entry': _run_entry, 'control': _run_control}
    name = arguments[0] if arguments else ''
    if name in CHECKS:
        return check_files(name, arguments[1:])
    log_to_stdout()
    run_role = roles.get(name)
    if run_role is None:
        usage = '|'.join((*roles, *(f'{check} FILE...' for check in CHECKS)))
        sys.stderr.write(f'usage: ibisjunction.platform {usage}\n')
        return 2
    map_large_blocks()
    try:
        settings = load_platform_settings(is_control=name == 'control')
    except PlatformSettingsError as error:
        sys.stderr.write(f'{error}\n')
        return 1
    missing = '; '.join(find_missing_addresses(settings))
    if missing:
        sys.stderr.write(f'{missing}\n')
        return 1
    # Later garbage collections then skip the objects of the imported modules.
    gc.freeze()
    return int(asyncio.run(_run_role(run_role, settings)))
