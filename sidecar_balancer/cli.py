"""The `weirlock` command: run a sidecar, check a configuration, and call a running sidecar's door.

    weirlock relay --config FILE          # a relay of discovery's list (docs/relay.md)
    weirlock run                          # as `python -m sidecar_balancer`: RELAY_CONFIG names its file
    weirlock check-config FILE            # one line for each error, exit 2; "ok" and 0 where it is good
    weirlock status --door HOST:PORT      # GET /api/status; servers, members, zones, duties likewise
    weirlock ban ID --door HOST:PORT      # PUT /api/exclude/ID; unban: /api/include/ID
    weirlock drain --door HOST:PORT       # PUT /api/evacuate; undrain: /api/rejoin
    weirlock drain-zone ZONE, pin-zone ZONE, free-zone ZONE, ready

The door is the operators' existing HTTP (docs/on-call.md); `--door` may be left out where the file given by
`--config` names `mgmt`.  Exit 0: yes; 1: no, or no answer within `--wait` seconds; 2: no door is known.
"""

from __future__ import annotations

import argparse
import http.client
import json
import sys
from typing import Any
from urllib.parse import quote

from sidecar_balancer import __main__ as program
from sidecar_balancer.config.loading import find_faults

_CALLS = {
    "status": ("GET", "status"),
    "servers": ("GET", "servers"),
    "members": ("GET", "members"),
    "zones": ("GET", "zones"),
    "duties": ("GET", "duties"),
    "ready": ("GET", "ready"),
    "ban": ("PUT", "exclude/{}"),
    "unban": ("PUT", "include/{}"),
    "drain": ("PUT", "evacuate"),
    "undrain": ("PUT", "rejoin"),
    "drain-zone": ("PUT", "drain-zone/{}"),
    "pin-zone": ("PUT", "pin-zone/{}"),
    "free-zone": ("PUT", "free-zone/{}"),
}
_ANSWER_MOST = 16 << 20  # bytes of the door's answer that are read
_TABLED = ("servers", "zones")


def main(argv: list[str] | None = None) -> int:
    arguments = _parser().parse_args(argv)
    if arguments.command == "run":
        return program.main()
    if arguments.command == "relay":
        from sidecar_balancer.relay import app

        return app.main(arguments.config)
    if arguments.command == "check-config":
        return check_config(arguments.file)
    return call(arguments)


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(prog="weirlock", description="A sidecar load balancer and its door.")
    commands = parser.add_subparsers(dest="command", required=True)
    commands.add_parser("run", help="serve, as python -m sidecar_balancer (RELAY_CONFIG names its file)")
    relay = commands.add_parser("relay", help="fan out what discovery tells to many sidecars")
    relay.add_argument("--config", required=True, help="a TOML file, see docs/relay.md")
    check = commands.add_parser("check-config", help="read a configuration and say all that is wrong with it")
    check.add_argument("file")
    for name, (method, path) in _CALLS.items():
        one = commands.add_parser(name, help=f"{method} /api/{path.format('ID')}")
        if "{}" in path:
            one.add_argument("ident", metavar="ID", help="the server's id, or the zone's name")
        one.add_argument("--door", help="HOST:PORT of the door")
        one.add_argument("--config", help="a configuration whose mgmt names the door")
        one.add_argument("--wait", type=float, default=3.0, help="seconds to wait for an answer (3)")
        one.add_argument("--json", action="store_true", help="the answer as it came")
    return parser


def check_config(path: str) -> int:
    """Read the file as a start would; print `ok` or a line for each thing that is wrong."""
    faults = find_faults(path)
    for fault in faults:
        print(f"bad configuration: {fault}".replace("\n", " "), file=sys.stderr)
    if not faults:
        print("ok")
    return 2 if faults else 0


def call(arguments: Any) -> int:
    door = arguments.door or _door_of(arguments.config)
    if door is None:
        print(
            "no door: give --door, or --config with mgmt in it (a sidecar without mgmt has none)",
            file=sys.stderr,
        )
        return 2
    method, path = _CALLS[arguments.command]
    path = "/api/" + path.format(quote(getattr(arguments, "ident", ""), safe=""))
    host, _, port = door.rpartition(":")
    try:
        connection = http.client.HTTPConnection(host, int(port), timeout=arguments.wait)
        connection.request(method, path)
        answer = connection.getresponse()
        body = answer.read(_ANSWER_MOST).decode("utf-8", "replace").strip()
    except (OSError, ValueError, http.client.HTTPException) as fault:
        print(f"the door at {door} did not answer: {fault}", file=sys.stderr)
        return 1
    if answer.status != 200:
        print(f"no ({answer.status}): {body}")
        return 1
    print(body if arguments.json else _shown(arguments.command, body))
    return 0


def _door_of(config: str | None) -> str | None:
    if config is None:
        return None
    try:
        with open(config, encoding="utf-8") as file:
            mgmt = json.load(file).get("mgmt")
    except (OSError, ValueError, AttributeError):
        return None
    return mgmt if isinstance(mgmt, str) else None


def _shown(command: str, body: str) -> str:
    """An answer for a person: a table where it is one of like things, else indented JSON."""
    try:
        told = json.loads(body)
    except ValueError:
        return body
    if command in _TABLED and isinstance(told, dict):
        rows = told.get("zones") if command == "zones" else told
        if isinstance(rows, dict) and rows and all(isinstance(each, dict) for each in rows.values()):
            rest = {key: value for key, value in told.items() if key != "zones"} if command == "zones" else {}
            return "\n".join([*(f"{key}: {value}" for key, value in rest.items()), _table(rows)])
    return json.dumps(told, indent=2)


def _table(rows: dict[str, dict[str, Any]]) -> str:
    columns = list(next(iter(rows.values())))
    lines = [["", *columns]]
    for name, row in rows.items():
        lines.append([name, *(_cell(row.get(column)) for column in columns)])
    widths = [max(len(line[at]) for line in lines) for at in range(len(columns) + 1)]
    padded = (zip(line, widths, strict=True) for line in lines)
    return "\n".join("  ".join(cell.ljust(width) for cell, width in line).rstrip() for line in padded)


def _cell(value: Any) -> str:
    if isinstance(value, dict):
        return " ".join(f"{key}={each}" for key, each in value.items()) or "-"
    return "-" if value is None else str(value)


if __name__ == "__main__":
    sys.exit(main())
