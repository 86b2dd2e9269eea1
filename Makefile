# Targets for users: demo, test. For contributors: soak, lint, format, bench, bench-quick, dist.
VENV ?= .venv
PYTHON ?= python3
BIN := $(VENV)/bin
SOURCES := src standins bench demo distribution testing platform
export PYTHONPATH := src:.:platform
export PYTHONHASHSEED := 0

.PHONY: demo test soak lint format bench bench-quick dist
SEEDS ?= 50

$(VENV)/.installed: requirements/dev.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --requirement requirements/dev.txt
	touch $@

demo: $(VENV)/.installed
	$(BIN)/python -m demo

test: $(VENV)/.installed
	$(BIN)/python -m testing

soak: $(VENV)/.installed
	$(BIN)/python -m testing.soak --seeds $(SEEDS) --keep soak-logs

lint: $(VENV)/.installed
	$(BIN)/black --quiet --check $(SOURCES)
	$(BIN)/ruff check --quiet $(SOURCES)
	$(BIN)/mypy

format: $(VENV)/.installed
	$(BIN)/black --quiet $(SOURCES)
	$(BIN)/ruff check --quiet --fix $(SOURCES)

bench: $(VENV)/.installed
	$(BIN)/python -m bench

bench-quick: $(VENV)/.installed
	$(BIN)/python -m bench --quick

dist: $(VENV)/.installed
	$(BIN)/python -m distribution dist/kingcupusher
