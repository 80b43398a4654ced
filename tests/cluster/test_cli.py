"""The `sidecar-balancer` command, run against sidecar processes on loopback."""

from __future__ import annotations

import asyncio
import json
import sys
from pathlib import Path
from typing import Any, NamedTuple

import pytest

from harness import ROOT, Tier, format_address, free_addresses, new_host, running_tier, scenario
from stub_cluster import running_cluster
from stub_servers import StubServer


class CommandResult(NamedTuple):
    """Exit code and output of a command."""

    code: int
    out: str
    err: str


async def run(*arguments: str) -> CommandResult:
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "sidecar_balancer.cli",
        *arguments,
        cwd=ROOT,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
    )
    out, err = await process.communicate()
    assert process.returncode is not None
    return CommandResult(process.returncode, out.decode(), err.decode())


async def _is_responding(sidecars: Tier) -> bool:
    return await sidecars.members(0) is not None


@scenario
async def test_the_command_takes_the_admin_server_address_from_a_flag_or_a_configuration_file(
    tmp_path: Path,
) -> None:
    async with running_tier(2, tmp_path, seed=17) as sidecars:
        address = format_address(sidecars.admin_addresses[0])
        await sidecars.wait_until(lambda: _is_responding(sidecars))
        members = await run("members", "--door", address)
        assert members.code == 0
        assert json.loads(members.out)["me"] == 0
        assert (await run("ban", "s-1", "--door", address))[:2] == (0, "yes\n")
        members = await run("members", "--config", str(tmp_path / "n0" / "config.json"))
        assert members.code == 0
        assert json.loads(members.out)["excluded"] == ["s-1"]
        rejected = await run("ban", "nobody", "--door", address)
        assert rejected.code == 1
        assert rejected.out.startswith("no (404)")


@scenario
async def test_a_refused_connection_gives_one_line_and_exit_code_1() -> None:
    unused_address = format_address(free_addresses(new_host(), 1)[0])
    completed = await run("members", "--door", unused_address, "--wait", "1")
    assert completed.code == 1
    assert len(completed.err.splitlines()) == 1
    assert "did not answer" in completed.err


@scenario
async def test_without_an_address_the_exit_code_is_2() -> None:
    completed = await run("drain")
    assert completed.code == 2
    assert completed.err.startswith("no admin server address")


@scenario
async def test_the_views_show_the_state_of_a_sidecar_under_load(tmp_path: Path) -> None:
    servers = [StubServer("a-0", "a"), StubServer("b-0", "b")]
    locality = {"locality": {"on": True}}
    async with running_cluster(tmp_path, 1, servers, "a", config_changes=locality) as cluster:
        address = format_address(cluster.tier.admin_addresses[0])
        cluster.load.start()
        await cluster.load.wait_for_responses(100)
        await cluster.load.stop()
        ok_count = sum(response.status == 200 for response in cluster.load.responses)
        await _assert_status(address, ok_count)
        shown = await run("servers", "--door", address)
        assert shown.code == 0
        assert {"a-0", "b-0"} <= {line.split(" ")[0] for line in shown.out.splitlines()}
        shown = await run("zones", "--door", address)
        assert shown.code == 0
        assert "here: a" in shown.out
        assert "failed_share" in shown.out
        assert (await run("duties", "--door", address)).code == 1  # leases are off


async def _assert_status(address: str, ok_count: int) -> None:
    shown = await run("status", "--door", address, "--json")
    status = json.loads(shown.out)
    assert shown.code == 0
    assert status["ready"]
    assert status["answered"]["200"] == ok_count
    latencies = status["latency_ms"].values()
    assert sum(latency["count"] for latency in latencies) == ok_count
    for latency in latencies:
        assert 15.0 < latency["p50"] <= latency["p90"] <= latency["p99"] <= latency["p999"]


@pytest.mark.parametrize(
    ("changes", "invalid_keys"),
    [
        ({}, []),
        ({"peer_plane": {"on": True, "period_ms": "fast"}}, ["peer_plane"]),
        ({"listen": 7, "logging": {"level": "loud"}}, ["listen", "logging.level"]),
        ({"locality": {"on": True, "panic": 7}, "surprise": 1}, ["locality.panic", "surprise"]),
        ({"duties": {"on": True, "term_ms": 10}, "state": {"folder": 3}}, ["duties", "state"]),
    ],
    ids=["good", "membership", "listen and logging", "locality and unknown", "leases and state"],
)
@scenario
async def test_check_config_prints_ok_or_a_line_for_each_error(
    tmp_path: Path, changes: dict[str, Any], invalid_keys: list[str]
) -> None:
    sidecars = Tier(1, tmp_path)
    await sidecars.open()
    path = tmp_path / "config.json"
    path.write_text(json.dumps(sidecars.config(0) | changes), encoding="utf-8")
    completed = await run("check-config", str(path))
    lines = completed.err.splitlines()
    assert (completed.code, completed.out) == ((2, "") if invalid_keys else (0, "ok\n"))
    assert len(lines) == len(invalid_keys)
    for line, key in zip(lines, invalid_keys, strict=True):
        assert line.startswith("bad configuration: ")
        assert key in line
    await sidecars.close()


@scenario
async def test_a_call_to_an_unresponsive_admin_server_times_out() -> None:
    async def silent(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.read()
        writer.close()

    server = await asyncio.start_server(silent, "127.0.0.1", 0)
    address = format_address(server.sockets[0].getsockname()[:2])
    completed = await run("status", "--door", address, "--wait", "0.2")
    assert (completed.code, completed.out) == (1, "")
    assert len(completed.err.splitlines()) == 1
    assert "timed out" in completed.err
    server.close()
