"""Tests of the package."""

from hypothesis import HealthCheck, settings

# Verdicts must not depend on random seeds or on the speed of the machine.
settings.register_profile(
    'repeatable',
    derandomize=True,
    database=None,
    deadline=None,
    suppress_health_check=(HealthCheck.too_slow,),
)
settings.load_profile('repeatable')
