VENV ?= .venv
PYTHON ?= python3

.PHONY: demo test lint setup binary bench docs

setup: $(VENV)/.ready

$(VENV)/.ready: pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip install --quiet --editable '.[test]'
	touch $@

test: setup
	$(VENV)/bin/python -m cornelnotch.testing.suite

lint: setup
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .
	$(VENV)/bin/mypy cornelnotch

docs: setup
	$(VENV)/bin/cornelnotch catalogue --write docs
