"""The `weirlock` command: run a sidecar, check a configuration, and call a running sidecar's door.

    weirlock run                          # as `python -m topazbank`: RELAY_CONFIG names the configuration
    weirlock check-config FILE            # one line per error, exit 2; "ok" and 0 where it is good
    weirlock members --door HOST:PORT     # the peer plane's view (GET /api/members)
    weirlock ban ID --door HOST:PORT      # PUT /api/exclude/ID; unban: /api/include/ID
    weirlock drain --door HOST:PORT       # PUT /api/evacuate; undrain: /api/rejoin
    weirlock ready --door HOST:PORT

The door is the operators' existing HTTP (docs/on-call.md); `--door` may be left out where the file given by
`--config` names `mgmt`.  A door that does not answer within `--wait` seconds is said in one line, exit 1.
"""

from __future__ import annotations

import argparse
import http.client
import json
import sys
from typing import Any
from urllib.parse import quote

from topazbank import __main__ as program

_CALLS = {
    "members": ("GET", "members"),
    "ready": ("GET", "ready"),
    "ban": ("PUT", "exclude/{}"),
    "unban": ("PUT", "include/{}"),
    "drain": ("PUT", "evacuate"),
    "undrain": ("PUT", "rejoin"),
}


def main(argv: list[str] | None = None) -> int:
    arguments = _parser().parse_args(argv)
    if arguments.command == "run":
        return program.main()
    if arguments.command == "check-config":
        return check_config(arguments.file)
    return call(arguments)


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(prog="weirlock", description="A sidecar load balancer and its door.")
    commands = parser.add_subparsers(dest="command", required=True)
    commands.add_parser("run", help="serve, as python -m topazbank (RELAY_CONFIG names the configuration)")
    check = commands.add_parser("check-config", help="read a configuration and say what is wrong with it")
    check.add_argument("file")
    for name in _CALLS:
        one = commands.add_parser(name, help=f"{_CALLS[name][0]} /api/{_CALLS[name][1].format('ID')}")
        if "{}" in _CALLS[name][1]:
            one.add_argument("server", help="the server's id as discovery names it")
        one.add_argument("--door", help="HOST:PORT of the door")
        one.add_argument("--config", help="a configuration whose mgmt names the door")
        one.add_argument("--wait", type=float, default=3.0, help="seconds to wait for an answer (3)")
    return parser


def check_config(path: str) -> int:
    """Read the file as a start would; print `ok` or the one thing that is wrong."""
    try:
        program.read_config({"RELAY_CONFIG": path})
    except (OSError, ValueError, RecursionError) as bad:
        print(f"bad configuration: {bad}".replace("\n", " "), file=sys.stderr)
        return 2
    print("ok")
    return 0


def call(arguments: Any) -> int:
    door = arguments.door or _door_of(arguments.config)
    if door is None:
        print(
            "no door: give --door, or --config with mgmt in it (a sidecar without mgmt has none)",
            file=sys.stderr,
        )
        return 2
    method, path = _CALLS[arguments.command]
    path = "/api/" + path.format(quote(getattr(arguments, "server", ""), safe=""))
    host, _, port = door.rpartition(":")
    try:
        connection = http.client.HTTPConnection(host, int(port), timeout=arguments.wait)
        connection.request(method, path)
        answer = connection.getresponse()
        body = answer.read().decode("utf-8", "replace").strip()
    except (OSError, ValueError, http.client.HTTPException) as fault:
        print(f"the door at {door} did not answer: {fault}", file=sys.stderr)
        return 1
    print(_shown(body) if answer.status == 200 else f"no ({answer.status}): {body}")
    return 0 if answer.status == 200 else 1


def _door_of(config: str | None) -> str | None:
    if config is None:
        return None
    try:
        with open(config, encoding="utf-8") as file:
            mgmt = json.load(file).get("mgmt")
    except (OSError, ValueError, AttributeError):
        return None
    return mgmt if isinstance(mgmt, str) else None


def _shown(body: str) -> str:
    try:
        return json.dumps(json.loads(body), indent=2)
    except ValueError:
        return body


if __name__ == "__main__":
    sys.exit(main())
