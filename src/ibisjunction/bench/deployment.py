"""Runs daemons and stand-ins as local processes on loopback."""

import asyncio
import contextlib
import ipaddress
import os
import secrets
import signal
import socket
import subprocess
import sys
import tempfile
from collections.abc import Container, Iterator, Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Final

from ibisjunction.daemon.command import create_identity
from ibisjunction.settings import load_settings

_MAX_VOTERS: Final = 5
#: Ports are below the range from which the kernel takes ports of outgoing
#: connections. An outgoing connection could otherwise occupy a port between
#: its choice and its use.
_FIRST_PORT: Final = 12_000
_END_PORT: Final = 32_000
_ADDRESSES_PER_VM: Final = 3
#: Process ids have at most 22 bits on Linux, which fit into this part of the
#: loopback network.
_FIRST_HOST: Final = int(ipaddress.IPv4Address('127.64.0.0'))
_STOP_TIMEOUT_S: Final = 40
OPERATOR_TOKEN: Final = 'operator-token-for-local-use'
UPSTREAM_TOKEN: Final = 'upstream-token-for-local-use'


#: Arguments of a process, and its environment if it differs.
_Command = tuple[list[str], Mapping[str, str] | None]


@dataclass(frozen=True, slots=True)
class VmAddresses:
    """Addresses on which one local daemon listens."""

    vm: str
    http: str
    admin: str
    peer: str


@dataclass(slots=True)
class Deployment:
    """Processes of one local deployment."""

    folder: Path
    vms: list[VmAddresses]
    voter_count: int = _MAX_VOTERS
    processes: dict[str, 'subprocess.Popen[bytes]'] = field(
        default_factory=dict,
    )
    control_addresses: dict[str, str] = field(default_factory=dict)
    _commands: dict[str, _Command] = field(default_factory=dict)

    def start_vm(self, vm: str) -> None:
        """Start the daemon of a VM."""
        self.start(vm, self._daemon_command(vm))

    def start(
        self,
        name: str,
        command: list[str],
        environment: Mapping[str, str] | None = None,
    ) -> None:
        """Start a process; its output is added to a log in the folder.

        :param environment: variables of the process; by default those of this
            process.
        """
        self._commands[name] = (command, environment)
        log_file = self.folder / f'{name}.log'
        with log_file.open('ab') as log:
            self.processes[name] = subprocess.Popen(
                command,
                env=environment,
                stdout=log,
                stderr=log,
            )

    def create_identity(self, vm: str, *, is_new: bool) -> str:
        """Create the identity of a VM's disk and return the disk's name."""
        settings = load_settings(self.folder / f'{vm}.toml')
        return create_identity(settings, is_new=is_new)

    def initialise_voters(self) -> None:
        """Create the disk identities of the voters of a new deployment."""
        for vm in self.vms[: self.voter_count]:
            self.create_identity(vm.vm, is_new=True)

    def kill(self, name: str) -> None:
        """Kill one process of this deployment, even a paused one."""
        process = self.processes.pop(name)
        process.send_signal(signal.SIGCONT)
        process.kill()
        process.wait()

    def data_folder(self, vm: str) -> Path:
        """Return the data folder of a VM."""
        return self.folder / vm

    def start_upstream(self, name: str, *arguments: str) -> None:
        """Start a stand-in for an upstream.

        The address of its control endpoint is added to ``control_addresses``.
        """
        self.control_addresses[name] = find_addresses(
            1, self._list_addresses()
        )[0]
        self.start(
            name,
            [
                sys.executable,
                '-m',
                'ibisjunction.bench',
                'upstream',
                f'--name={name}',
                f'--token={UPSTREAM_TOKEN}',
                f'--records={self.folder / name}.jsonl',
                f'--control-address={self.control_addresses[name]}',
                *(f'--announce-to={vm.admin}' for vm in self.vms),
                *arguments,
            ],
        )

    def signal(self, name: str, signal_number: signal.Signals) -> None:
        """Send a signal to one process of this deployment."""
        self.processes[name].send_signal(signal_number)

    def is_running(self, name: str) -> bool:
        """Return whether a process has not ended."""
        return self.processes[name].poll() is None

    def start_again(self, name: str) -> None:
        """Start a process that has ended, with its former arguments."""
        self.start(name, *self._commands[name])

    async def wait_for_exit(self, name: str) -> int:
        """Return the exit code of a process; kill it if it does not end."""
        return await asyncio.to_thread(_wait_or_kill, self.processes[name])

    def stop_all(self) -> dict[str, int]:
        """Stop every process, also paused ones, and return the exit codes."""
        for process in self.processes.values():
            process.send_signal(signal.SIGCONT)
            process.terminate()
        return {
            name: _wait_or_kill(process)
            for name, process in self.processes.items()
        }

    def _list_addresses(self) -> frozenset[str]:
        """Return all addresses that processes use or are about to use."""
        return frozenset(
            address
            for vm in self.vms
            for address in (vm.http, vm.admin, vm.peer)
        ).union(self.control_addresses.values())

    def _daemon_command(self, vm: str) -> list[str]:
        settings = self.folder / f'{vm}.toml'
        return [sys.executable, '-m', 'ibisjunction.daemon', str(settings)]


def _wait_or_kill(process: 'subprocess.Popen[bytes]') -> int:
    try:
        return process.wait(_STOP_TIMEOUT_S)
    except subprocess.TimeoutExpired:
        process.kill()
        return process.wait()


@contextlib.contextmanager
def run_deployment(
    vm_count: int,
    max_voters: int = _MAX_VOTERS,
) -> Iterator[Deployment]:
    """Run daemons in a temporary folder for the duration of the block."""
    with (
        tempfile.TemporaryDirectory(prefix='ibisjunction-') as name,
        run_deployment_in(Path(name), vm_count, max_voters) as deployment,
    ):
        yield deployment


@contextlib.contextmanager
def run_deployment_in(
    folder: Path,
    vm_count: int,
    max_voters: int = _MAX_VOTERS,
) -> Iterator[Deployment]:
    """Run daemons in a folder for the duration of the block.

    The first VMs, ``max_voters`` at most, hold replicas of the control log.
    The VMs are assigned to four failure domains in turn.
    """
    vms = choose_vms(vm_count)
    deployment = Deployment(folder, vms, min(max_voters, vm_count))
    voters = vms[: deployment.voter_count]
    for number, vm in enumerate(vms):
        text = _format_settings(vm, f'fd-{number % 4 + 1}', voters, folder)
        (folder / f'{vm.vm}.toml').write_text(text)
    deployment.initialise_voters()
    try:
        for vm in vms:
            deployment.start_vm(vm.vm)
        yield deployment
    finally:
        deployment.stop_all()


def choose_vms(count: int) -> list[VmAddresses]:
    """Choose free addresses for VMs; no two of them are equal."""
    addresses = iter(find_addresses(count * _ADDRESSES_PER_VM))
    return [
        VmAddresses(
            vm=f'vm-{number}',
            http=next(addresses),
            admin=next(addresses),
            peer=next(addresses),
        )
        for number in range(1, count + 1)
    ]


def find_own_host() -> str:
    """Return the loopback address that this process uses alone.

    A port is free until the daemon that it was chosen for listens on it. Two
    processes that start deployments at the same time would choose the same
    port now and then if they shared an address.
    """
    return str(ipaddress.IPv4Address(_FIRST_HOST + os.getpid()))


def find_addresses(
    count: int,
    taken: Container[str] = (),
) -> list[str]:
    """Return free loopback addresses that are not taken.

    All ports stay bound until the last one is found, so they differ. An
    address that a process does not listen on yet appears to be free, so it has
    to be passed as taken.
    """
    with contextlib.ExitStack() as stack:
        return [_reserve_address(stack, taken) for _ in range(count)]


def _reserve_address(
    stack: contextlib.ExitStack,
    taken: Container[str],
) -> str:
    """Bind a free port until the stack is closed."""
    host = find_own_host()
    while True:
        port = secrets.choice(range(_FIRST_PORT, _END_PORT))
        address = f'{host}:{port}'
        if address in taken:
            continue
        reserved_socket = socket.socket()
        try:
            reserved_socket.bind((host, port))
        except OSError:
            reserved_socket.close()
            continue
        stack.enter_context(reserved_socket)
        return address


def _format_settings(
    vm: VmAddresses,
    failure_domain: str,
    voters: list[VmAddresses],
    folder: Path,
) -> str:
    lines = [
        f'vm = "{vm.vm}"',
        'region = "local"',
        f'failure_domain = "{failure_domain}"',
        f'http = "{vm.http}"',
        f'admin = "{vm.admin}"',
        f'peer = "{vm.peer}"',
        f'data_folder = "{folder / vm.vm}"',
        f'operator_token = "{OPERATOR_TOKEN}"',
        f'upstream_token = "{UPSTREAM_TOKEN}"',
        '[[keys]]',
        'key_id = "k1"',
        'secret = "a-shared-key-for-local-use"',
    ]
    for voter in voters:
        lines += [
            '[[voters]]',
            f'vm = "{voter.vm}"',
            f'peer = "{voter.peer}"',
        ]
    return '\n'.join((*lines, ''))
