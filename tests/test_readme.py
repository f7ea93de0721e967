"""The example in the README runs as printed, and the public names of the package exist."""

from __future__ import annotations

import re
from pathlib import Path

import pytest

from cypressbeam import balancing


def test_the_readme_example_runs(capsys: pytest.CaptureFixture[str]) -> None:
    text = (Path(__file__).parent.parent / "README.md").read_text(encoding="utf-8")
    blocks = re.findall(r"```python\n(.*?)```", text, re.DOTALL)
    assert len(blocks) == 1
    exec(compile(blocks[0], "README.md", "exec"), {})
    lines = capsys.readouterr().out.splitlines()
    assert lines[0].startswith("send r1 to 10.0.0.") and lines[1] == "then []"


def test_all_public_names_exist() -> None:
    assert all(hasattr(balancing, name) for name in balancing.__all__)
    assert {"Balancer", "Settings", "RequestClass", "Send", "Refuse"} <= set(balancing.__all__)
