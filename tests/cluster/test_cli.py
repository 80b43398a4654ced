"""The `weirlock` command against a sidecar process on loopback."""

from __future__ import annotations

import asyncio
import json
import sys
from pathlib import Path

from harness import ROOT, Tier, free_tcp, play, text, tier


async def weirlock(*arguments: str) -> tuple[int, str, str]:
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "topazbank.cli",
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
        async with tier(2, tmp_path, seed=17) as made:
            door = text(made.doors[0])
            await made.until(lambda: _answers(made))
            code, out, _ = await weirlock("members", "--door", door)
            assert code == 0 and json.loads(out)["me"] == 0
            assert (await weirlock("ban", "s-1", "--door", door))[:2] == (0, "yes\n")
            code, out, _ = await weirlock("members", "--config", str(tmp_path / "n0" / "config.json"))
            assert code == 0 and json.loads(out)["excluded"] == ["s-1"]
            code, out, _ = await weirlock("ban", "nobody", "--door", door)
            assert code == 1 and out.startswith("no (404)")
        code, _, err = await weirlock("members", "--door", text(free_tcp()), "--wait", "1")
        assert code == 1 and len(err.splitlines()) == 1 and "did not answer" in err
        code, _, err = await weirlock("drain")
        assert code == 2 and err.startswith("no door")

    play(scene())


def test_check_config_says_ok_or_one_line(tmp_path: Path) -> None:
    async def scene() -> None:
        made = Tier(1, tmp_path)
        await made.open()
        good = made.config(0)
        cases = [good, good | {"peer_plane": {"on": True, "period_ms": "fast"}}, good | {"listen": 7}]
        results = []
        for number, given in enumerate(cases):
            path = tmp_path / f"c{number}.json"
            path.write_text(json.dumps(given), encoding="utf-8")
            results.append(await weirlock("check-config", str(path)))
        await made.close()
        assert results[0][:2] == (0, "ok\n")
        for code, _, err in results[1:]:
            assert code == 2 and len(err.splitlines()) == 1 and err.startswith("bad configuration: ")

    play(scene())


async def _answers(made: Tier) -> bool:
    return await made.members(0) is not None
