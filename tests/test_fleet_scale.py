"""What grows with the fleet: the figures at small sizes, and the measurement itself."""

from __future__ import annotations

from pathlib import Path

import pytest
from click.testing import CliRunner

from cypressbeam.cli.program import main
from lab import growth, plots, scale

#: Commands that play simulated trouble turn the log off; what comes after them must not miss it.
pytestmark = pytest.mark.usefixtures("quiet")


def test_no_cost_grows_faster_than_the_fleet() -> None:
    found = [scale.measure(size, routes=50, servers=40) for size in (20, 60, 150)]
    slopes = scale.exponents(found)
    assert all(slope is not None and slope <= scale.MOST_EXPONENT for slope in slopes.values()), scale.table(found)
    assert scale.measure(20, routes=50, servers=40) == found[0]  # one seed, one history


def test_a_cost_that_grows_faster_than_the_fleet_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    """Were each node told of all others, the root's bytes would grow with the square of the fleet."""
    assert scale.exponent([(10, 1.0), (100, 100.0)]) == pytest.approx(2.0)
    assert scale.exponent([(10, 0.0), (100, 5.0)]) is None
    monkeypatch.setattr("cypressbeam.distribution.node_registry.PROBED_PEERS", 10_000)
    found = [scale.measure(size, routes=10, servers=5) for size in (20, 60, 150)]
    slope = scale.exponents(found)["quiet_root_bytes"]
    assert slope is not None and slope > scale.MOST_EXPONENT and "(!)" in scale.table(found)


def test_traffic_costs_no_more_for_each_request_in_a_larger_fleet() -> None:
    found = [growth.measure(size, traffic_s=3.0) for size in (8, 24)]
    assert found[0] == growth.measure(8, traffic_s=3.0)  # one seed, one history
    small, large = found
    assert small.edge_ms_each > 0 and large.edge_ms_each < 1.3 * small.edge_ms_each
    assert large.most_connections < 24 and large.platform_calls_s < 1.3 * small.platform_calls_s
    assert set(scale.exponents(found)) >= {"p99_ms", "most_connections", "core_ms_s"}


def test_a_page_holds_its_plots_and_marks_what_is_found(tmp_path: Path) -> None:
    table = "| cost | 10 | exponent |\n| --- | ---: | ---: |\n| a<b | 1 | 1.50 (!) |"
    steep = plots.power_plot("bytes", [(10, 1.0), (100, 100.0)], 2.0, 1.1)
    none = plots.power_plot("zero", [(10, 0.0)], None, 1.1)
    bars = plots.difference_plot([("worth", 0.9, 0.01, 0.002), ("served", 0.9, 0.01, 0.2), ("zero", 0.0, 0.0, 0.0)])
    page = tmp_path / "page.html"
    plots.write(page, "A & B", {"played": "<b>"}, table, [steep, none, bars])
    text = page.read_text(encoding="utf-8")
    assert text.count("<svg") == 3 and "A &amp; B" in text and "a&lt;b" in text and "&lt;b&gt;" in text
    assert '<td class="found">1.50 (!)</td>' in text
    assert "src=" not in text and 'href="http' not in text  # nothing has to be fetched to read it
    assert plots.COLUMNS[1] in steep and plots.COLUMNS[1] not in none and plots.COLUMNS[1] in bars
    assert steep == plots.power_plot("bytes", [(10, 1.0), (100, 100.0)], 2.0, 1.1)


def test_the_commands_write_pages_and_tell_by_their_exit_codes(tmp_path: Path) -> None:
    page = tmp_path / "growth.html"
    ended = CliRunner().invoke(
        main, ["lab", "growth", "--sizes", "6,12", "--seconds", "1", "--jobs", "1", "--html", str(page)]
    )
    assert "| edge_ms_each |" in ended.output and page.read_text(encoding="utf-8").count("<svg") == 8
    assert ended.exit_code in (0, 3) and ("(!)" in ended.output) == (ended.exit_code == 3)
    day = tmp_path / "day.toml"
    day.write_text("edges = 4\ntraffic_s = 1.0\n", encoding="utf-8")
    told = CliRunner().invoke(main, ["lab", "day", str(day)])
    assert told.exit_code == 0 and "no rule broken" in told.output
    day.write_text("edges = 0\n", encoding="utf-8")
    assert CliRunner().invoke(main, ["lab", "day", str(day)]).exit_code == 2
    assert CliRunner().invoke(main, ["lab", "compare", "--set", "balancer.X=1"]).exit_code == 2
