"""The files of one revision, taken together."""

from collections.abc import Mapping

from ibisjunction.services.model import ServiceFileError, parse_service_file
from ibisjunction.services.spec import ServiceSpec


def parse_collection(files: Mapping[str, str]) -> list[ServiceSpec]:
    """Parse all files of a revision, in the order of their names.

    :raises ServiceFileError: if a file is not valid, or two files claim the
        same service or path prefix.
    """
    specs = [
        parse_service_file(text, name) for name, text in sorted(files.items())
    ]
    _check_unique('service', [spec.service for spec in specs])
    _check_unique('path_prefix', [spec.path_prefix for spec in specs])
    return specs


def _check_unique(field: str, values: list[str]) -> None:
    for position, text in enumerate(values):
        if text in values[:position]:
            raise ServiceFileError(field, [f'two files have "{text}"'])
