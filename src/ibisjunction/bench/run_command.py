"""Runs a scenario on all its deployments and writes the report."""

import importlib
from pathlib import Path
from typing import IO

from ibisjunction.bench.checks import find_violations
from ibisjunction.bench.experiment import StartError, run_experiment
from ibisjunction.bench.report import Section, format_report
from ibisjunction.bench.scenario import (
    Scenario,
    ScenarioError,
    load_scenario,
)


def run_scenario(name: str, seed: int, folder: Path, output: IO[str]) -> int:
    """Run a scenario and return 1 if a check found a violation."""
    try:
        scenario = load_scenario(name)
    except ScenarioError as error:
        output.write(f'{error}\n')
        return 1
    folder.mkdir(parents=True, exist_ok=True)
    try:
        sections = [
            _run_section(scenario, profile, seed, folder)
            for profile in scenario.profiles
        ]
    except StartError as error:
        output.write(f'{name}: {error}; logs are in {folder}\n')
        return 1
    report = folder / f'{scenario.name}-{seed}.md'
    report.write_text(format_report(scenario, seed, sections))
    violations = sum(len(section.violations) for section in sections)
    output.write(f'{report}: {violations} violations\n')
    return 1 if violations else 0


def _run_section(
    scenario: Scenario,
    profile: str,
    seed: int,
    folder: Path,
) -> Section:
    name = f'{scenario.name}-{seed}-{profile}'
    records = run_experiment(scenario, profile, seed, folder / name)
    # Imported late: stand-ins are started by the same command and run without
    # matplotlib.
    plots = importlib.import_module('ibisjunction.bench.plots')
    plots.plot_timeline(records, name, folder / f'{name}.png')
    return Section(profile, records, find_violations(records), f'{name}.png')
