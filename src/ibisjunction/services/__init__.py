"""The specifications of services that operators publish."""

from ibisjunction.services.catalog import (
    RequestHead,
    RouteMatch,
    ServiceCatalog,
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
    'ServiceCatalog',
    'ServiceFileError',
    'ServiceSpec',
    'TermsLevel',
    'parse_service_file',
    'shard_of',
)
