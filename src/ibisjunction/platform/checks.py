"""Checks of the platform's files without starting a process."""

import sys
from collections.abc import Callable, Iterable, Iterator
from pathlib import Path
from types import MappingProxyType
from typing import Final

from ibisjunction.platform.settings import (
    PlatformSettingsError,
    read_platform_settings,
)


def check_files(name: str, paths: Iterable[str]) -> int:
    """Print the mistakes in files.

    :param name: name of the check, a key of ``CHECKS``.
    :return: the exit code: 1 if there are mistakes, 2 if no file is given.
    """
    files = list(paths)
    if not files:
        sys.stderr.write(f'{name}: no file given\n')
        return 2
    mistakes = [
        mistake for path in files for mistake in CHECKS[name](Path(path))
    ]
    for mistake in mistakes:
        sys.stderr.write(f'{mistake}\n')
    return int(bool(mistakes))


def _check_settings(path: Path) -> Iterator[str]:
    # A file has the same mistakes for both roles.
    try:
        read_platform_settings(path, is_control=True)
    except PlatformSettingsError as error:
        yield str(error)


def _check_deploy(path: Path) -> Iterator[str]:
    # Imported only here, so that processes that serve start faster.
    from ibisjunction.platform.deploy import find_deploy_mistakes

    yield from find_deploy_mistakes(path)


CHECKS: Final = MappingProxyType[str, Callable[[Path], Iterator[str]]](
    {'check-settings': _check_settings, 'check-deploy': _check_deploy},
)
