"""Parses the service files of one revision."""

import functools
from collections.abc import Mapping
from typing import Final

from ibisjunction.services.model import ServiceFileError, parse_service_file
from ibisjunction.services.spec import ServiceSpec

#: Parsed files in the cache; a deployment publishes only a few.
_MAX_CACHED_FILES: Final = 64


@functools.lru_cache(maxsize=_MAX_CACHED_FILES)
def parse_cached(text: str, name: str) -> ServiceSpec:
    """Parse a service file, or return the cached result of an earlier call.

    Several tasks read each revision, and most files stay the same from one
    revision to the next. The result must not be changed.

    :raises ServiceFileError: if the text is not a valid service file.
    """
    return parse_service_file(text, name)


def parse_collection(files: Mapping[str, str]) -> list[ServiceSpec]:
    """Parse all files of a revision, in the order of their names.

    :raises ServiceFileError: if a file is not valid, or two files have the
        same service or path prefix.
    """
    specs = [parse_cached(text, name) for name, text in sorted(files.items())]
    _check_unique('service', [spec.service for spec in specs])
    _check_unique('path_prefix', [spec.path_prefix for spec in specs])
    return specs


def _check_unique(field: str, values: list[str]) -> None:
    for position, text in enumerate(values):
        if text in values[:position]:
            raise ServiceFileError(field, [f'two files have "{text}"'])
