"""The `weirlock` command against a sidecar process on loopback."""

from __future__ import annotations

import asyncio
import json
import sys
from pathlib import Path
from typing import Any

from harness import ROOT, Tier, free_ports, new_host, run_scenario, running_tier, text
from stub_cluster import running_cluster
from stub_servers import StubServer


async def weirlock(*arguments: str) -> tuple[int, str, str]:
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
    return process.returncode, out.decode(), err.decode()


def test_the_command_calls_the_door_and_says_what_is_wrong(tmp_path: Path) -> None:
    async def scene() -> None:
        async with running_tier(2, tmp_path, seed=17) as made:
            door = text(made.admin_addresses[0])
            await made.wait_until(lambda: _answers(made))
            code, out, _ = await weirlock("members", "--door", door)
            assert code == 0 and json.loads(out)["me"] == 0
            assert (await weirlock("ban", "s-1", "--door", door))[:2] == (0, "yes\n")
            code, out, _ = await weirlock("members", "--config", str(tmp_path / "n0" / "config.json"))
            assert code == 0 and json.loads(out)["excluded"] == ["s-1"]
            code, out, _ = await weirlock("ban", "nobody", "--door", door)
            assert code == 1 and out.startswith("no (404)")
        code, _, err = await weirlock("members", "--door", text(free_ports(new_host(), 1)[0]), "--wait", "1")
        assert code == 1 and len(err.splitlines()) == 1 and "did not answer" in err
        code, _, err = await weirlock("drain")
        assert code == 2 and err.startswith("no door")

    run_scenario(scene())


def test_status_servers_and_zones_show_what_a_sidecar_under_load_holds(tmp_path: Path) -> None:
    async def scene() -> None:
        servers = [StubServer("a-0", "a"), StubServer("b-0", "b")]
        locality = {"locality": {"on": True}}
        async with running_cluster(tmp_path, 1, servers, "a", config_changes=locality) as made:
            door = text(made.tier.admin_addresses[0])
            made.load.start()
            while len(made.load.responses) < 100:
                await asyncio.sleep(0.01)
            await made.load.stop()
            code, out, _ = await weirlock("status", "--door", door, "--json")
            told = json.loads(out)
            good = sum(each.status == 200 for each in made.load.responses)
            assert code == 0 and told["ready"] and told["answered"]["200"] == good
            assert sum(each["count"] for each in told["latency_ms"].values()) == good
            for each in told["latency_ms"].values():
                assert 15.0 < each["p50"] <= each["p90"] <= each["p99"] <= each["p999"]
            code, out, _ = await weirlock("servers", "--door", door)
            assert code == 0 and {"a-0", "b-0"} <= {line.split(" ")[0] for line in out.splitlines()}
            code, out, _ = await weirlock("zones", "--door", door)
            assert code == 0 and "here: a" in out and "failed_share" in out
            assert (await weirlock("duties", "--door", door))[:1] == (1,)  # there are none here

    run_scenario(scene())


def test_check_config_says_ok_or_a_line_for_each_fault(tmp_path: Path) -> None:
    async def scene() -> None:
        made = Tier(1, tmp_path)
        await made.open()
        good = made.config(0)
        cases: list[tuple[dict[str, Any], list[str]]] = [
            (good, []),
            (good | {"peer_plane": {"on": True, "period_ms": "fast"}}, ["peer_plane"]),
            (good | {"listen": 7, "logging": {"level": "loud"}}, ["listen", "logging.level"]),
            (good | {"locality": {"on": True, "panic": 7}, "surprise": 1}, ["locality.panic", "surprise"]),
            (good | {"duties": {"on": True, "term_ms": 10}, "state": {"folder": 3}}, ["duties", "state"]),
        ]
        for number, (given, wrong) in enumerate(cases):
            path = tmp_path / f"c{number}.json"
            path.write_text(json.dumps(given), encoding="utf-8")
            code, out, err = await weirlock("check-config", str(path))
            lines = err.splitlines()
            assert (code, out) == ((2, "") if wrong else (0, "ok\n"))
            assert len(lines) == len(wrong)
            for line, name in zip(lines, wrong, strict=True):
                assert line.startswith("bad configuration: ") and name in line
        await made.close()

    run_scenario(scene())


def test_a_door_that_never_answers_is_waited_for_no_longer_than_told(tmp_path: Path) -> None:
    async def scene() -> None:
        async def silent(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.read()
            writer.close()

        server = await asyncio.start_server(silent, "127.0.0.1", 0)
        door = text(server.sockets[0].getsockname()[:2])
        code, out, err = await weirlock("status", "--door", door, "--wait", "0.2")
        assert (code, out, len(err.splitlines())) == (1, "", 1) and "timed out" in err
        server.close()

    run_scenario(scene())


async def _answers(made: Tier) -> bool:
    return await made.members(0) is not None
