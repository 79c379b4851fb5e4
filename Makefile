VENV ?= .venv
PYTHON ?= python3

.PHONY: demo test lint setup binary bench docs fuzz

setup: $(VENV)/.ready

$(VENV)/.ready: pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip install --quiet --editable '.[test]'
	touch $@

test: setup binary
	$(VENV)/bin/python -m cornelnotch.testing.suite

lint: setup
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .
	$(VENV)/bin/mypy cornelnotch
	$(VENV)/bin/cornelnotch catalogue docs

docs: setup
	$(VENV)/bin/cornelnotch catalogue docs --write

demo: setup
	$(VENV)/bin/cornelnotch demo

binary: setup
	mkdir -p dist
	$(VENV)/bin/shiv --compressed \
		--python '/usr/bin/env python3' \
		--entry-point cornelnotch.commands.program:run_program \
		--output-file dist/cornelnotch --quiet .
	$(VENV)/bin/python -m cornelnotch.packaging.archive dist/cornelnotch

bench: setup
	$(VENV)/bin/python -m benchmarks.overhead
	$(VENV)/bin/python -m benchmarks.burst
	$(VENV)/bin/python -m benchmarks.inforce
	$(VENV)/bin/python -m benchmarks.idle
	$(VENV)/bin/python -m benchmarks.capacity
	$(VENV)/bin/python -m benchmarks.keying
	$(VENV)/bin/python -m benchmarks.turns

fuzz: SEED := $(shell date +%s)
fuzz: setup
	CORNELNOTCH_FUZZ=40000 CORNELNOTCH_EXAMPLES=4000 CORNELNOTCH_SEED=$(SEED) \
		$(VENV)/bin/python -m pytest --timeout 1800 -m "fuzz or hypothesis" \
		--hypothesis-profile search --hypothesis-seed $(SEED)
