# Sets up a virtual environment from pinned packages and runs the project's jobs.
PYTHON ?= $(shell command -v python3.11 || command -v python3)
BIN := .venv/bin

.PHONY: bench bench-control bench-pool setup days demo soak fuzz test check format
setup: .venv/ready

.venv/ready: requirements.lock pyproject.toml
	$(PYTHON) -m venv .venv
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements.lock
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation -e .
	touch .venv/ready

demo: setup
	$(BIN)/python -m scripts.demo
	$(BIN)/python -m scripts.demo_platform

bench: setup
	$(BIN)/python -m scripts.bench

bench-control: setup
	$(BIN)/python -m scripts.bench_control

bench-pool: setup
	$(BIN)/python -m scripts.bench_pool

# Runs the real programs under random faults; the options are in tests/soak.py.
SEED ?= 1
MINUTES ?= 1
PROCESSES ?= 4
soak: setup
	$(BIN)/python -m tests.soak --seed $(SEED) --minutes $(MINUTES) --processes $(PROCESSES)

# Fuzzes the framing of requests and answers; the options are in tests/fuzz.py.
fuzz: setup
	$(BIN)/python -m tests.fuzz --seed $(SEED) --minutes $(MINUTES)

# Plays our own days on the platform's bench; KIT is its folder, SITES its site files.
days:
	@test -n "$(KIT)" && test -n "$(SITES)" || { echo "set KIT and SITES"; exit 2; }
	@set -e; for site in $(SITES); do for day in deploy/days/*.toml; do \
		$(KIT)/bin/fleetbench run $$site $$day --why "own days"; done; done

check: setup
	$(BIN)/ruff format --check src tests scripts examples deploy
	$(BIN)/ruff check src tests scripts examples deploy
	$(BIN)/mypy src scripts

# Half of the cores: with more, the real processes that tests start miss their bounds.
# Tests that measure time or processor time run by themselves after the others.
WORKERS ?= $(shell expr \( $$(nproc) + 1 \) / 2 - 1)

# Some machines set this variable. Each process that a test starts then compiles the
# project anew, which is a quarter of the processor time that a node needs to start.
test: export PYTHONDONTWRITEBYTECODE =

test: check
ifeq ($(WORKERS),1)
	$(BIN)/pytest -q
else
	$(BIN)/pytest -q -n $(WORKERS) --dist worksteal -m "not alone" --durations=10
	$(BIN)/pytest -q -m alone
endif

format: setup
	$(BIN)/ruff format src tests scripts examples
	$(BIN)/ruff check --fix src tests scripts examples
