"""The `sidecar-balancer` command: run a sidecar or a relay, check a configuration, call an admin server.

    sidecar-balancer run                        same as `python -m sidecar_balancer`; reads RELAY_CONFIG
    sidecar-balancer relay --config FILE        run a relay of the endpoint list (docs/relay.md)
    sidecar-balancer check-config FILE          print "ok", or a line for each error with exit code 2
    sidecar-balancer status --door HOST:PORT    GET /api/status; also servers, members, zones, duties, ready
    sidecar-balancer ban ID --door HOST:PORT    PUT /api/exclude/ID; the inverse is unban ID
    sidecar-balancer drain --door HOST:PORT     PUT /api/evacuate; the inverse is undrain
    sidecar-balancer drain-zone ZONE --door HOST:PORT    also pin-zone and free-zone

`--door` is the address of the admin server (docs/on-call.md); `--config` takes it from `mgmt` in that file.
Exit codes: 0 success; 1 a call was rejected or had no response in time; 2 a usage or configuration error.
"""

from __future__ import annotations

import argparse
import json
import sys
from pathlib import Path

from sidecar_balancer.admin.client import CALLS, AdminCall, AdminCallError
from sidecar_balancer.admin.tables import format_response
from sidecar_balancer.startup import omit_tls

EXIT_OK = 0
EXIT_CALL_FAILED = 1
EXIT_USAGE = 2
_DEFAULT_TIMEOUT_S = 3.0
_HTTP_OK = 200


def main(argv: list[str] | None = None) -> int:
    """Run the command and return its exit code."""
    arguments = _parser().parse_args(argv)
    match arguments.command:
        case "run":
            omit_tls()
            from sidecar_balancer import program as sidecar_program  # the other commands don't need it

            return sidecar_program.main()
        case "relay":
            from sidecar_balancer.relay import app as relay_program

            return relay_program.main(arguments.config)
        case "check-config":
            return check_config(arguments.file)
    return _call_admin_server(arguments)


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="sidecar-balancer", description="A sidecar load balancer and its admin client."
    )
    commands = parser.add_subparsers(dest="command", required=True)
    commands.add_parser("run", help="run a sidecar; RELAY_CONFIG names its configuration file")
    relay = commands.add_parser("relay", help="run a relay of the endpoint list")
    relay.add_argument("--config", required=True, help="TOML configuration file, see docs/relay.md")
    check = commands.add_parser("check-config", help="list the errors in a configuration file")
    check.add_argument("file")
    for name, call in CALLS.items():
        _add_call(commands.add_parser(name, help=f"{call.method} /api/{call.path.format('ID')}"), call)
    return parser


def _add_call(parser: argparse.ArgumentParser, call: AdminCall) -> None:
    if call.needs_name:
        parser.add_argument("name", metavar="ID", help="server id or zone name")
    parser.add_argument("--door", metavar="HOST:PORT", help="address of the admin server")
    parser.add_argument("--config", help="configuration file whose mgmt key holds that address")
    parser.add_argument(
        "--wait",
        type=float,
        default=_DEFAULT_TIMEOUT_S,
        help=f"seconds to wait for the response ({_DEFAULT_TIMEOUT_S:g})",
    )
    parser.add_argument("--json", action="store_true", help="print the response body unchanged")


def check_config(path: str) -> int:
    """Validate the file as at startup; print `ok` or a line for each error, and return the exit code."""
    from sidecar_balancer.config.loading import find_errors  # admin calls don't need it

    errors = find_errors(path)
    for error in errors:
        print(f"bad configuration: {error}".replace("\n", " "), file=sys.stderr)
    if errors:
        return EXIT_USAGE
    print("ok")
    return EXIT_OK


def _call_admin_server(arguments: argparse.Namespace) -> int:
    address = arguments.door or _address_in_config(arguments.config)
    if address is None:
        print(
            "no admin server address: pass --door or --config (a sidecar without mgmt has no admin server)",
            file=sys.stderr,
        )
        return EXIT_USAGE
    call = CALLS[arguments.command]
    name = arguments.name if call.needs_name else ""
    try:
        response = call.send(address, name, arguments.wait)
    except AdminCallError as error:
        print(error, file=sys.stderr)
        return EXIT_CALL_FAILED
    if response.status != _HTTP_OK:
        print(f"no ({response.status}): {response.body}")
        return EXIT_CALL_FAILED
    print(response.body if arguments.json else format_response(arguments.command, response.body))
    return EXIT_OK


def _address_in_config(path: str | None) -> str | None:
    if path is None:
        return None
    try:
        address = json.loads(Path(path).read_text(encoding="utf-8")).get("mgmt")
    except (OSError, ValueError, AttributeError):
        return None
    return address if isinstance(address, str) else None


if __name__ == "__main__":
    sys.exit(main())
