"""Settings of one daemon."""

from ibisjunction.settings.loader import SettingsError, load_settings
from ibisjunction.settings.spec import (
    Address,
    AuthKey,
    Settings,
    TimingSettings,
    VoterAddress,
)

__all__ = (
    'Address',
    'AuthKey',
    'Settings',
    'SettingsError',
    'TimingSettings',
    'VoterAddress',
    'load_settings',
)
