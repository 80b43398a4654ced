"""Load reports in responses."""

from __future__ import annotations

from loopback import (
    http_response,
    run_scenario,
    running_sidecar,
)
from sidecar_balancer.upstream.load_report import parse_load_report


def test_malformed_load_reports_are_ignored() -> None:
    columns = ("util", "qps")
    assert parse_load_report("TEXT util=0.5, qps=7, other=1", columns) == {"util": 0.5, "qps": 7.0}
    for malformed in ("TEXT util=nan", "TEXT util", "BIN xyz", "", "TEXT "):
        assert parse_load_report(malformed, columns) is None
    assert parse_load_report("TEXT util=inf, qps=3", columns) == {"qps": 3.0}
    assert parse_load_report("TEXT util=0.5", ()) is None

    async def scenario() -> None:
        report = {"source": "answers", "columns": ["util"]}
        async with running_sidecar(
            lambda *_: http_response(200, b"x", X_Load_Report="TEXT util=;;="), report=report
        ) as environment:
            assert (await environment.send_request())[0] == 200

    run_scenario(scenario())
