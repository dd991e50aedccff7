PYTHON ?= python3
BIN := .venv/bin
PACKAGES := packages/core packages/host packages/command packages/gateway platform packages/standins

.PHONY: demo test format

demo: .venv/ready
	$(BIN)/python -m crocusbay_standins.demo

test: .venv/ready
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/lint-imports
	$(BIN)/python -m pytest

format: .venv/ready
	$(BIN)/ruff check --fix .
	$(BIN)/ruff format .

.venv/ready: requirements.txt pyproject.toml packages/*/pyproject.toml platform/pyproject.toml
	$(PYTHON) -m venv .venv
	$(BIN)/pip install --quiet "uv==0.13.9"
	$(BIN)/uv pip install --quiet --requirement requirements.txt
	$(BIN)/uv pip install --quiet --no-deps $(PACKAGES:%=--editable %)
	touch $@
