"""Commands that check and publish service files."""

import sys
import time
import uuid
from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated, Final

import cappa

from ibisjunction.admin.model import (
    PublishAnswer,
    PublishRequest,
    RevisionAnswer,
    VmsAnswer,
)
from ibisjunction.cli.connection import (
    EXIT_INVALID,
    EXIT_NOT_IN_FORCE,
    EXIT_UNREACHABLE,
    AdminApi,
    CommandError,
    Connection,
    print_json,
)
from ibisjunction.services.collection import parse_collection

#: Time between polls and between attempts to publish.
_INTERVAL_S: Final = 0.2
_MAX_ATTEMPTS: Final = 3


@cappa.command(name='check')
@dataclass
class CheckCommand:
    """Check service files without publishing them."""

    files: Annotated[
        list[Path],
        cappa.Arg(help='Service files, or folders that hold them.'),
    ]

    def __call__(self) -> int:
        """Print the services of the files.

        :raises ServiceFileError: if a file is not valid; the command line then
            prints each mistake and returns exit code 1.
        """
        for spec in parse_collection(collect_files(self.files)):
            sys.stdout.write(f'{spec.service}: valid\n')
        return 0


@cappa.command(name='publish')
@dataclass
class PublishCommand:
    """Publish service files as the next revision.

    The files replace those of the revision they are based on. The command
    waits until every live VM reports the revision in force.
    """

    files: Annotated[
        list[Path],
        cappa.Arg(help='Service files, or folders that hold them.'),
    ]
    connection: Annotated[Connection, cappa.Arg.destructured()]
    base: Annotated[
        int | None,
        cappa.Arg(
            long=True,
            help='Revision the files are based on; by default the current one.',
        ),
    ] = None
    publication_id: Annotated[
        str,
        cappa.Arg(
            long=True,
            help='Identifies this publication when it is sent again.',
        ),
    ] = field(default_factory=lambda: uuid.uuid4().hex)
    wait: Annotated[
        float,
        cappa.Arg(
            long=True, help='Seconds to wait until the revision is in force.'
        ),
    ] = 10.0

    def __call__(self) -> int:
        """Publish the files and wait until they are in force."""
        texts = collect_files(self.files)
        parse_collection(texts)
        api = self.connection.make_api()
        base = self.base
        if base is None:
            base = api.fetch('GET', '/v1/revisions', RevisionAnswer).revision
        request = PublishRequest(base, self.publication_id, texts)
        answer = _publish(api, request)
        sys.stderr.write(
            f'published revision {answer.revision}'
            f' (publication {self.publication_id})\n',
        )
        return self._wait_until_in_force(api, answer.revision)

    def _wait_until_in_force(self, api: AdminApi, revision: int) -> int:
        deadline = time.monotonic() + self.wait
        while True:
            answer = api.fetch('GET', '/v1/vms', VmsAnswer)
            outdated = find_outdated_vms(answer, revision)
            if not outdated or time.monotonic() >= deadline:
                break
            time.sleep(_INTERVAL_S)
        if self.connection.json:
            print_json(answer)
        if outdated:
            raise CommandError(
                f'revision {revision} is not yet in force on'
                f' {", ".join(outdated)}; run "ibisjunction vms" to follow it',
                EXIT_NOT_IN_FORCE,
            )
        sys.stderr.write(f'in force on all {len(answer.vms)} live VMs\n')
        return 0


def find_outdated_vms(answer: VmsAnswer, revision: int) -> list[str]:
    """Return the live VMs that have neither this nor a later revision."""
    return [
        status.vm
        for status in answer.vms
        if status.live and (status.revision or 0) < revision
    ]


def collect_files(paths: list[Path]) -> dict[str, str]:
    """Return the texts of service files by name, folders expanded.

    :raises CommandError: if a file can't be read or two have the same name.
    """
    texts: dict[str, str] = {}
    for path in paths:
        service_files = sorted(path.glob('*.toml')) if path.is_dir() else [path]
        for service_file in service_files:
            if service_file.name in texts:
                raise CommandError(
                    f'{service_file}: another file has this name',
                    EXIT_INVALID,
                )
            texts[service_file.name] = _read_text(service_file)
    return texts


def _read_text(path: Path) -> str:
    try:
        return path.read_text()
    except (OSError, UnicodeError) as error:
        raise CommandError(f'{path}: {error}', EXIT_INVALID) from error


def _publish(api: AdminApi, request: PublishRequest) -> PublishAnswer:
    """Send a publication, and resend it while its outcome is unknown.

    It keeps its publication id, so a resend does not publish it twice.
    """
    for _attempt in range(_MAX_ATTEMPTS):
        try:
            return api.fetch('POST', '/v1/revisions', PublishAnswer, request)
        except CommandError as error:
            if error.exit_code != EXIT_UNREACHABLE:
                raise
            last_error = error
            time.sleep(_INTERVAL_S)
    raise CommandError(
        f'{last_error}; the outcome is unknown, so run the command again'
        f' with --base {request.base_revision}'
        f' --publication-id {request.publication_id}',
        EXIT_UNREACHABLE,
    )
