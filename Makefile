PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin

.PHONY: install test demo bench format

install: $(VENV)/.installed

$(VENV)/.installed: requirements.txt pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --disable-pip-version-check \
		-r requirements.txt
	$(BIN)/python -m pip install --quiet --disable-pip-version-check \
		--no-deps --no-build-isolation --editable .
	touch $@

test: install
	$(BIN)/python -m tools.check

demo: install
	$(BIN)/python -m tools.demo

bench: install
	$(BIN)/python -m tools.bench

format: install
	$(BIN)/python -m ruff format chestnutstair tools
	$(BIN)/python -m ruff check --fix chestnutstair tools
