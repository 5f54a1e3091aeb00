"""A router between callers and upstreams that own keys exclusively."""

from ibisjunction.clock import Clock, ManualClock, SystemClock
from ibisjunction.outcomes import Answered, Failed, Outcome, Refused
from ibisjunction.services import ServiceSpec, parse_service_file
from ibisjunction.settings import Settings, SettingsError, load_settings
from ibisjunction.verdict import Verdict

__all__ = (
    'Answered',
    'Clock',
    'Failed',
    'ManualClock',
    'Outcome',
    'Refused',
    'ServiceSpec',
    'Settings',
    'SettingsError',
    'SystemClock',
    'Verdict',
    'load_settings',
    'parse_service_file',
)
