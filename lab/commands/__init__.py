"""The commands of lab, which it adds to the program `cypressbeam` by entry points (pyproject.toml)."""
