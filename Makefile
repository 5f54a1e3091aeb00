# Two commands do all the set-up: `make demo` and `make test`.
PYTHON ?= python3
BIN := .venv/bin

.PHONY: demo test lint unit

demo: .venv/installed
	PYTHONPATH=$(CURDIR)/src $(BIN)/python -m ibisjunction.bench demo

test: lint unit

lint: .venv/installed
	$(BIN)/ruff format --check src specs tests
	$(BIN)/ruff check src specs tests
	$(BIN)/flake8 src specs tests
	$(BIN)/mypy

unit: .venv/installed
	PYTHONPATH=$(CURDIR)/src $(BIN)/python -m tests.runner

.venv/installed: pyproject.toml
	$(PYTHON) -m venv .venv
	$(BIN)/pip install --quiet --editable '.[dev]'
	touch $@
