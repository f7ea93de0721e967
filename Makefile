# What is run before each commit; `.ci/run` does the same in a fresh environment.
.PHONY: check format traces
check:
	ruff check . && ruff format --check . && mypy && pytest
format:
	ruff check --fix . && ruff format .
traces:
	cypressbeam lab traces --golden tests/data/traces.txt
