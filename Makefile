PYTHON ?= python3.11
VENV := .venv
export PYTHONPATH := src

.PHONY: demo test bench speed capacity format

$(VENV)/ready: pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip install -q -e '.[dev]'
	touch $@

demo: $(VENV)/ready
	$(VENV)/bin/python tools/demo.py

test: $(VENV)/ready
	$(VENV)/bin/python -m pytest

bench: $(VENV)/ready
	$(VENV)/bin/python tools/bench.py

speed: $(VENV)/ready
	$(VENV)/bin/python tools/bench_forward.py

capacity: $(VENV)/ready
	$(VENV)/bin/python tools/capacity.py

format: $(VENV)/ready
	$(VENV)/bin/ruff format src tests tools
	$(VENV)/bin/ruff check --fix src tests tools
