VENV ?= .venv
PYTHON ?= python3.11
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: test lint format demo coverage clean

$(STAMP): pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -e '.[dev]'
	touch $(STAMP)

test: $(STAMP)
	$(BIN)/python -m redwingpost.testing

lint: $(STAMP)
	$(BIN)/black --quiet --check redwingpost
	$(BIN)/flake8 redwingpost

format: $(STAMP)
	$(BIN)/black --quiet redwingpost

coverage: $(STAMP)
	$(BIN)/coverage run -m redwingpost.testing
	$(BIN)/coverage report

demo: $(STAMP)
	$(BIN)/redwing-bench demo

clean:
	rm -rf $(VENV) build dist *.egg-info
