"""Case: several callers send large bodies at once, within the published limits.

The rule is LOST: a process passes requests from kept connections on to sound
servers and closes those connections without an answer, more than three times.
A process that uses more than MemoryMb is killed by the platform.
"""

import asyncio
import os
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).parent))
import harness

MEMORY_BYTES = 300 * 1024 * 1024
#: Below MaxBodyBytes, which is 64 MiB.
LARGE_BYTES = 60 * 1024 * 1024
SMALL_BYTES = 1024
UPLOADS = 2
ROUNDS = 4


async def case(record):
    deployment = harness.Deployment(record, controls=3, entries=2)
    servers = []
    try:
        await deployment.start_all()
        for _ in range(10):
            servers.append(
                harness.Server(
                    deployment,
                    record,
                    'desk',
                    f'{deployment.server_net}.251.2',
                    0,
                    work_s=0.4,
                )
            )
        update = harness.make_update(
            [
                harness.make_route(
                    'r-desk', 'desk.example', '/d/', 'unsafe', 'desk'
                )
            ],
            [harness.make_service('desk')],
            harness.LIMITS,
        )
        if (
            await deployment.control_call('POST', '/Config.Update', update)
            != {}
        ):
            raise harness.CannotRun('the desired state was not accepted')
        record('operator: the desired state is confirmed')
        for server in servers:
            await server.start()
        await deployment.wait_ready()
        await asyncio.sleep(3)
        return await play(record, deployment, servers)
    finally:
        for server in servers:
            await server.stop()
        await deployment.stop_all()


async def play(record, deployment, servers):
    until = time.monotonic() + 5 + ROUNDS * 8
    clients = [
        harness.Client(
            record,
            ip,
            deployment.ports[3],
            'desk.example',
            '/d/',
            'POST',
            5000,
            0.3,
        )
        for ip in deployment.entry_ips
        for _ in range(12)
    ]
    tasks = [asyncio.create_task(client.run(until)) for client in clients]
    guard = asyncio.create_task(watch_memory(record, deployment))
    await asyncio.sleep(3)
    size = LARGE_BYTES if harness.TROUBLE else SMALL_BYTES
    for _ in range(ROUNDS):
        await asyncio.gather(
            *(
                upload(record, deployment, deployment.entry_ips[0], size)
                for _ in range(UPLOADS)
            )
        )
        await asyncio.sleep(5)
    await asyncio.gather(*tasks)
    guard.cancel()
    return judge(record, deployment, servers, clients)


async def watch_memory(record, deployment):
    """Kill a process that uses more than MemoryMb, as the platform does."""
    peaks = {}
    while True:
        for ip in deployment.entry_ips:
            process = deployment.processes[ip]
            if process.returncode is not None:
                continue
            try:
                pages = Path(f'/proc/{process.pid}/statm').read_text().split()
            except OSError:
                continue
            used = (int(pages[1]) - int(pages[2])) * os.sysconf('SC_PAGE_SIZE')
            if used > peaks.get(process.pid, 0) + 30_000_000:
                peaks[process.pid] = used
                record(f'{ip} uses {used >> 20} MiB')
            if used > MEMORY_BYTES:
                record(f'{ip} uses more than MemoryMb and is killed')
                process.send_signal(signal.SIGKILL)
                await asyncio.sleep(0.3)
        await asyncio.sleep(0.02)


async def upload(record, deployment, ip, size):
    attempt = os.urandom(8).hex()
    record(f'send   {attempt} POST with {size} bytes to {ip}')
    try:
        async with asyncio.timeout(8):
            reader, writer = await asyncio.open_connection(
                ip, deployment.ports[3]
            )
            writer.write(
                f'POST /d/large HTTP/1.1\r\nHost: desk.example\r\n'
                f'Attempt-Id: {attempt}\r\nDeadline-Ms: 7000\r\n'
                f'Content-Length: {size}\r\n\r\n'.encode()
            )
            piece = bytes(65536)
            left = size
            while left:
                writer.write(piece[: min(left, len(piece))])
                left -= min(left, len(piece))
                await writer.drain()
            start, headers = await harness.read_head(reader)
            await harness.read_body(reader, headers)
            record(f'answer {attempt} {start.split()[1]}')
            writer.close()
    except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
        record(f'answer {attempt} none: {error!r}')


def judge(record, deployment, servers, clients):
    sound = {attempt for server in servers for attempt in server.runs}
    cut = [
        attempt
        for client in clients
        for _, _, attempt, result, is_kept in client.results
        if result == 'connection closed'
        and is_kept
        and attempt in sound
        and client.address[0] == deployment.entry_ips[0]
    ]
    served = sum(
        result == 200
        for client in clients
        for _, _, _, result, _ in client.results
    )
    if served < 100:
        raise harness.CannotRun('too few requests were served')
    record(f'{served} served; ends of processes: {len(deployment.ends)}')
    record(
        f'{len(cut)} requests of kept connections were passed on to a sound '
        'server and cut without an answer (at most 3 allowed)'
    )
    print(f'served: {served}, ends: {len(deployment.ends)}, cut: {len(cut)}')
    return len(cut) > 3


harness.run_case(Path(sys.argv[1]), case)
