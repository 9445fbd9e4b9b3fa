PYTHON ?= python3.11
BIN := .venv/bin

.PHONY: demo test lint prove benchmark

.venv/ready: requirements.txt requirements-development.txt pyproject.toml
	$(PYTHON) -m venv .venv
	$(BIN)/pip install --quiet --requirement requirements-development.txt
	$(BIN)/pip install --quiet --no-deps --editable .
	touch .venv/ready

demo: .venv/ready
	$(BIN)/python tools/demo.py

test: .venv/ready
	$(BIN)/behave --format progress
	$(BIN)/python -m pytest

lint: .venv/ready
	$(BIN)/ruff check .
	$(BIN)/ruff format --check .

SEED ?= 1
EXAMPLES ?= 500
prove: .venv/ready
	PROVE_EXAMPLES=$(EXAMPLES) $(BIN)/python -m pytest --hypothesis-seed=$(SEED) -m "not process"
	@echo "seed $(SEED), examples $(EXAMPLES)"
