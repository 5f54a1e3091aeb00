"""The specifications of services that operators publish."""

from ibisjunction.services.catalogue import (
    RequestHead,
    RouteMatch,
    ServiceCatalogue,
)
from ibisjunction.services.keys import KeySource, shard_of
from ibisjunction.services.model import ServiceFileError, parse_service_file
from ibisjunction.services.spec import (
    Operation,
    Rank,
    RankPolicy,
    ServiceSpec,
    TermsLevel,
)

__all__ = (
    'KeySource',
    'Operation',
    'Rank',
    'RankPolicy',
    'RequestHead',
    'RouteMatch',
    'ServiceCatalogue',
    'ServiceFileError',
    'ServiceSpec',
    'TermsLevel',
    'parse_service_file',
    'shard_of',
)
