BIN = .venv/bin

.PHONY: setup test lint check

setup:
	sh deploy/build.sh
	cmp -s pyproject.toml .venv/developing.toml || \
		($(BIN)/pip install -q --disable-pip-version-check -e '.[dev]' && cp pyproject.toml .venv/developing.toml)

test: setup
	$(BIN)/python -m pytest

lint: setup
	$(BIN)/ruff check .
	$(BIN)/ruff format --check .
	$(BIN)/mypy

check: lint test
