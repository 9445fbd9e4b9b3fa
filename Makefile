PYTHON ?= $(shell command -v python3.11 || command -v python3)
BIN := .venv/bin

.PHONY: demo test lint prove benchmark soak

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

RUNS ?= 1
SECONDS ?= 15
soak: .venv/ready
	$(BIN)/python -m soak --seed $(SEED) --seconds $(SECONDS) --runs $(RUNS)

benchmark: .venv/ready
	$(BIN)/pip install --quiet --requirement requirements-benchmark.txt
	mkdir -p benchmarks/results
	$(BIN)/python -m benchmarks.slopes > benchmarks/results/slopes.json
	$(BIN)/python -m benchmarks.path > benchmarks/results/path.json
	$(BIN)/python -m benchmarks.detection > benchmarks/results/detection.json
	$(BIN)/python -m benchmarks.capacity benchmarks/results/slopes.json \
		benchmarks/results/path.json > docs/CAPACITY.md
	$(BIN)/python -m benchmarks.pages benchmarks/results/detection.json \
		benchmarks/results/slopes.json
