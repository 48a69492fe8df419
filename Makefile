# Every target sets up its own virtual environment; only Python 3.11 is needed.
VENV ?= .venv
PY := $(VENV)/bin/python
STAMP := $(VENV)/.installed
export PYTHONPATH := $(CURDIR)/src

.PHONY: day demo test bench fault-runs docs-check lint format clean

$(STAMP): requirements.txt pyproject.toml
	test -x $(PY) || python3 -m venv $(VENV)
	$(PY) -m pip install --quiet --disable-pip-version-check -r requirements.txt
	$(PY) -m pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation -e .
	touch $(STAMP)

lint: $(STAMP)
	$(VENV)/bin/black --quiet --check --diff src features scripts
	$(VENV)/bin/ruff check --quiet src features scripts

format: $(STAMP)
	$(VENV)/bin/black --quiet src features scripts
	$(VENV)/bin/ruff check --quiet --fix src features scripts

docs-check: $(STAMP)
	$(PY) scripts/docs_check.py

test: lint docs-check
	$(PY) scripts/run_tests.py

demo: $(STAMP)
	$(PY) -m hyssopwood_standins demo

bench: $(STAMP)
	$(PY) -m hyssopwood_standins bench

fault-runs: $(STAMP)
	$(PY) -m hyssopwood_standins fault-runs

clean:
	rm -rf $(VENV) out build

# Plays one day of a site on the users' bench; BENCH is its program.
day:
	$(BENCH) run $(SITE) $(DAY) --log all
