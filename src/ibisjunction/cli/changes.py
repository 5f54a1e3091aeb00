"""Commands that change a deployment."""

import sys
import uuid
from dataclasses import dataclass, field
from typing import Annotated
from urllib.parse import quote

import cappa

from ibisjunction.admin.model import (
    ChangeVotersRequest,
    RenewalAnswer,
    RenewalRequest,
)
from ibisjunction.cli.connection import Connection, print_json


@cappa.command(name='drain-upstream')
@dataclass
class DrainUpstreamCommand:
    """Drain an upstream: its shards move away and it gets no new requests."""

    upstream: str
    connection: Annotated[Connection, cappa.Arg.destructured()]

    def __call__(self) -> int:
        """Mark the upstream as draining."""
        path = f'/v1/upstreams/{quote(self.upstream)}/drain'
        self.connection.make_api().send('POST', path)
        sys.stderr.write(
            f'{self.upstream} is draining; run "ibisjunction status" to see'
            ' its shards leave\n',
        )
        return 0


@cappa.command(name='add-voter')
@dataclass
class AddVoterCommand:
    """Add a disk to those that store the control log.

    The disk votes once it has caught up. First run "ibisjunctiond SETTINGS
    --join" on its VM, which prints the name of the disk, and start the daemon.
    """

    disk: str
    connection: Annotated[Connection, cappa.Arg.destructured()]
    peer: Annotated[
        str,
        cappa.Arg(
            long=True,
            help='Peer address of the VM of the disk, IP number:port.',
        ),
    ]

    def __call__(self) -> int:
        """Add the disk and wait until it votes."""
        request = ChangeVotersRequest(add=self.disk, peer=self.peer)
        self.connection.make_api().send('POST', '/v1/voters', request)
        sys.stderr.write(
            f'{self.disk} votes; run "ibisjunction remove-voter" to remove the'
            ' disk that it replaces\n',
        )
        return 0


@cappa.command(name='remove-voter')
@dataclass
class RemoveVoterCommand:
    """Remove a disk from those that store the control log."""

    disk: str
    connection: Annotated[Connection, cappa.Arg.destructured()]

    def __call__(self) -> int:
        """Remove the disk."""
        request = ChangeVotersRequest(remove=self.disk)
        self.connection.make_api().send('POST', '/v1/voters', request)
        sys.stderr.write(f'{self.disk} no longer votes\n')
        return 0


@cappa.command(name='renew-terms')
@dataclass
class RenewTermsCommand:
    """Renew the terms of a client."""

    service: str
    client: str
    connection: Annotated[Connection, cappa.Arg.destructured()]
    renewal_id: Annotated[
        str,
        cappa.Arg(
            long=True,
            help='Identifies this renewal when it is sent again.',
        ),
    ] = field(default_factory=lambda: uuid.uuid4().hex)

    def __call__(self) -> int:
        """Renew the terms and print the client's new level."""
        service, client = quote(self.service), quote(self.client)
        answer = self.connection.make_api().fetch(
            'POST',
            f'/v1/services/{service}/clients/{client}/renewals',
            RenewalAnswer,
            RenewalRequest(self.renewal_id),
        )
        if self.connection.json:
            print_json(answer)
        else:
            sys.stdout.write(f'{self.client}: level {answer.level}\n')
        return 0
