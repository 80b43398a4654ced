"""Scenarios of the processes: each returns plain data that a golden file can hold."""

from __future__ import annotations

import contextlib
import json
import re
import socket
import threading
from collections.abc import Callable
from contextlib import ExitStack
from pathlib import Path
from typing import Any

from golden_processes import (
    WAIT_TIMEOUT_S,
    Address,
    accept,
    call,
    exchange,
    format_address,
    free_addresses,
    listening_socket,
    mask,
    new_host,
    read_message,
    relay,
    sidecar,
    wait_until,
)

SERVICE_CLASSES = [
    {"name": "look", "giveUpUs": 5_000_000, "repeat": "read_like"},
    {"name": "amend", "giveUpUs": 5_000_000, "repeat": "idempotency_key", "group": "all"},
    {"name": "pay", "giveUpUs": 5_000_000, "repeat": "non_idempotent"},
]
LIST_PATH = "/registry/instances"


def entry(name: str, zone: str = "a", address: str = "127.0.0.1:9", **changes: Any) -> dict[str, Any]:
    """Return an entry of the endpoint list in discovery's format."""
    fields = {"name": name, "address": address, "zone": zone, "type": "m", "group": 1}
    return fields | {"status": "active", "weight": 1.0, "since_ms": 0} | changes


def endpoint_list(index: int, *entries: dict[str, Any], snapshot: bool = True) -> dict[str, Any]:
    return {"index": index, "snapshot": snapshot, "endpoints": list(entries)}


def base_config(listen: Address, discovery: str = "127.0.0.1:1") -> dict[str, Any]:
    settings = {"lanes": SERVICE_CLASSES, "zone": "a", "discovery": "on_request"}
    return {
        "name": "n0",
        "listen": format_address(listen),
        "discovery": discovery,
        "seed": "7",
        "settings": settings,
    }


# The admin API


ADMIN_COMMANDS = [
    "exclude/s-1",
    "exclude/nobody",
    "include/s-1",
    "drain-zone/a",
    "pin-zone/b",
    "free-zone/a",
    "drain-zone/nowhere",
    "evacuate",
    "rejoin",
]
REJECTED_CALLS = [
    ("GET", "nothing"),
    ("PUT", "nothing"),
    ("PUT", "status"),
    ("GET", "evacuate"),
    ("PUT", "exclude/"),
]


def shape(value: Any) -> Any:
    """Return a value with numbers as type names, digits in texts as N and list rows of one shape once."""
    if isinstance(value, dict):
        return {key: shape(each) for key, each in value.items()}
    if isinstance(value, list):
        shapes = [shape(each) for each in value]
        if not all(isinstance(each, (dict, list)) for each in value):
            return shapes
        return [each for at, each in enumerate(shapes) if each not in shapes[:at]]
    if isinstance(value, str):
        return re.sub(r"\d+(\.\d+)*|\binf\b", "N", value)
    if value is None or isinstance(value, bool):
        return value
    return type(value).__name__


def admin_scenario(folder: Path) -> dict[str, Any]:
    """Make every admin API call to the first of two sidecars with membership, leases, zones and state."""
    tcp, udp = free_addresses(4), free_addresses(2, socket.SOCK_DGRAM)
    with ExitStack() as stack:
        listener, address = stack.enter_context(listening_socket())
        servers = [entry(f"s-{zone}", zone, format_address(address)) for zone in "aab"]
        servers = [each | {"name": f"s-{number}"} for number, each in enumerate(servers, 1)]
        for number in range(2):
            config = base_config(tcp[number]) | {
                "name": f"n{number}",
                "seed": f"{1000 + number:x}",
                "known": endpoint_list(1, *servers),
                "mgmt": format_address(tcp[2 + number]),
                "peer_listen": format_address(udp[number]),
                "peers": [format_address(each) for each in udp],
                "peer_plane": {"on": True, "period_ms": 100, "probe_timeout_ms": 40},
                "duties": {"on": True, "term_ms": 600, "renew_ms": 200, "skew_ms": 20, "retry_ms": 50},
                "locality": {"on": True},
                "state": {
                    "on": True,
                    "folder": str(folder / f"state-{number}"),
                    "tier_folder": str(folder / "shared"),
                    "every_ms": 50,
                    "warm_ms": 0,
                },
            }
            config["settings"] |= {"me": number, "groupSize": 2}
            stack.enter_context(sidecar(folder / f"n{number}", config))
        admin_address, admin_addresses = tcp[2], tcp[2:]
        for each in admin_addresses:
            _poll_until([each], "ready", lambda _: True)
        assert call(admin_address, "PUT", "/api/exclude/s-2")[0] == 200  # so that `members` shows a verdict
        recorded: dict[str, Any] = {}
        for name in ("status", "servers", "ready"):
            recorded[f"GET {name}"] = _call_admin(admin_address, "GET", name)
        recorded["GET duties"] = [
            200,
            shape(_poll_until(admin_addresses, "duties", lambda duties: bool(duties["acts"]))),
        ]
        zones = _poll_until([admin_address], "zones", lambda view: view["probing"] is not None)
        recorded["GET zones"] = [200, shape(zones | {"probing": "whether this one holds the duty"})]
        members = _poll_until(
            [admin_address],
            "members",
            lambda view: view["verdicts"] and view["members"]["1"][0] == "alive",
        )
        # Which datagrams are dropped when a tier starts depends on which process starts first.
        recorded["GET members"] = [200, shape(members | {"dropped": {}})]
        with socket.create_connection(tcp[0], WAIT_TIMEOUT_S) as client:
            client.sendall(_request("look", "GET"))
            with accept(listener) as sock:
                read_message(sock)
                sock.sendall(RESPONSE_HEAD + b"hello")
            read_message(client)
        recorded["GET status (after a request)"] = _call_admin(admin_address, "GET", "status")
        used = _poll_until(
            [admin_address],
            "servers",
            lambda view: any(row["latency_ms"] for row in view.values()),
        )
        [row] = [row for row in used.values() if row["latency_ms"]]
        recorded["GET servers (one that was used)"] = [200, shape(row | {"zone": "a"})]
        for name in ADMIN_COMMANDS:
            recorded[f"PUT {name}"] = _call_admin(admin_address, "PUT", name)
        for method, name in REJECTED_CALLS:
            recorded[f"{method} {name} (declined)"] = _call_admin(admin_address, method, name)
        return recorded


def _poll_until(admin_addresses: list[Address], name: str, condition: Callable[[Any], Any]) -> Any:
    """Read from these addresses in turn until a response meets the condition; return it."""
    found: list[Any] = []

    def poll() -> bool:
        for admin_address in admin_addresses:
            status, body = call(admin_address, "GET", f"/api/{name}")
            if status == 200:
                value = json.loads(body) if body.startswith("{") else body
                found.extend([value] if condition(value) else [])
        return bool(found)

    wait_until(poll, f"expected value of {name}")
    return found[0]


def _call_admin(admin_address: Address, method: str, name: str) -> list[Any]:
    status, body = call(admin_address, method, f"/api/{name}")
    try:
        return [status, shape(json.loads(body))]
    except ValueError:
        return [status, body]


# Discovery and relays

AGE_PATTERNS = {"age": r"(?i)X-Source-Age-Ms: (\d+)"}


def http_list(content: dict[str, Any], *headers: str) -> bytes:
    """Return a response of discovery."""
    body = json.dumps(content).encode()
    lines = ["HTTP/1.1 200 OK", f"Content-Length: {len(body)}", *headers, "Connection: close", "", ""]
    return "\r\n".join(lines).encode() + body


class Registry:
    """Discovery stub on threads that responds to each call by the version it names.

    A watch of the newest version waits for as long as it asks; `requests` holds each distinct call once, with
    placeholders, in the order of first arrival.
    """

    def __init__(self, responses: dict[int | None, bytes]) -> None:
        self.responses = responses
        self.requests: list[str] = []
        self.changed = threading.Condition()
        self._sock = socket.create_server((new_host(), 0), backlog=64)
        host, port = self._sock.getsockname()
        self.address: Address = (host, port)
        self._is_closed = False

    def __enter__(self) -> Registry:
        threading.Thread(target=self._accept, daemon=True).start()
        return self

    def __exit__(self, *_: object) -> None:
        with self.changed:
            self._is_closed = True
            self.changed.notify_all()
        self._sock.shutdown(socket.SHUT_RDWR)
        self._sock.close()

    def set_response(self, after: int | None, data: bytes) -> None:
        """Set the response to calls that name this version (None: calls for the whole list)."""
        with self.changed:
            self.responses[after] = data
            self.changed.notify_all()

    def wait_for_requests(self, count: int) -> None:
        """Wait until this many distinct calls have arrived."""
        with self.changed:
            assert self.changed.wait_for(lambda: len(self.requests) >= count, WAIT_TIMEOUT_S), self.requests

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                sock, _ = self._sock.accept()
                threading.Thread(target=self._serve, args=[sock], daemon=True).start()

    def _serve(self, sock: socket.socket) -> None:
        with contextlib.suppress(OSError), sock:
            sock.settimeout(WAIT_TIMEOUT_S)
            data = read_message(sock)
            request = mask(data, {"discovery": self.address}, {"wait": r"wait_ms=(\d+)"} | AGE_PATTERNS)
            after = re.search(rb"after=(\d+)", data)
            wait = re.search(rb"wait_ms=(\d+)", data)
            version = int(after[1]) if after else None
            with self.changed:
                if request not in self.requests:
                    self.requests.append(request)
                    self.changed.notify_all()
                wait_s = int(wait[1]) / 1000 if wait else WAIT_TIMEOUT_S
                self.changed.wait_for(lambda: version in self.responses or self._is_closed, wait_s)
                response = self.responses.get(version, http_list(endpoint_list(version or 0, snapshot=False)))
            sock.sendall(response)


def discovery_scenario(folder: Path) -> list[str]:
    """Return a sidecar's calls to discovery: the first, a watch, and watches after a relay's responses."""
    responses: dict[int | None, bytes] = {
        0: http_list(endpoint_list(41, entry("s-1"))),
        41: http_list(endpoint_list(42, entry("s-2"), snapshot=False), 'ETag: "t-42"', "X-Source-Age-Ms: 5"),
        42: http_list(endpoint_list(43, entry("s-1"), entry("s-2")), 'ETag: "t-43"', "X-Source-Age-Ms: 5"),
    }
    with Registry(responses) as registry:
        config = base_config(free_addresses(1)[0], format_address(registry.address))
        with sidecar(folder / "n0", config):
            registry.wait_for_requests(4)
        return registry.requests[:4]


def relay_scenario(folder: Path) -> dict[str, Any]:
    """Return the calls that a relay makes to discovery, and the bytes of its responses."""
    recorded: dict[str, Any] = {}
    listen = free_addresses(1)[0]
    servers = [entry("s-1"), entry("s-2", "b", since_ms=1234, status="leaving")]
    with Registry({}) as registry:
        addresses = {"discovery": registry.address, "relay": listen}

        def fetch(line: str, *headers: str) -> str:
            head = "\r\n".join([f"{line} HTTP/1.1", "Host: r", *headers, "", ""])
            return mask(exchange(listen, head.encode()), addresses)

        config = f'listen = "{format_address(listen)}"\nupstreams = ["{format_address(registry.address)}"]\n'
        with relay(folder / "relay", config):
            registry.wait_for_requests(1)
            recorded["before any list"] = fetch(f"GET {LIST_PATH}")
            recorded["not ready"] = fetch("GET /health/ready")
            registry.set_response(None, http_list(endpoint_list(41, *servers)))
            wait_until(lambda: fetch("GET /health/ready").startswith("HTTP/1.1 200"), "the relay's list")
            whole_list = recorded["whole list"] = fetch(f"GET {LIST_PATH}")
            tag = re.search(r"(?i)etag: (\S+)", whole_list)
            assert tag is not None
            watch, if_none_match = f"GET {LIST_PATH}?after=41", f"If-None-Match: {tag[1]}"
            recorded["nothing new"] = fetch(watch + "&wait_ms=0", if_none_match, "X-Source-Age-Ms: 0")
            registry.set_response(41, http_list(endpoint_list(42, entry("s-3"), snapshot=False)))
            recorded["changes"] = fetch(watch + "&wait_ms=30000", if_none_match)
            recorded["ready"] = fetch("GET /health/ready")
            recorded["unknown path"] = fetch("GET /nothing")
            recorded["wrong method"] = fetch(f"PUT {LIST_PATH}")
            recorded["bad number"] = fetch(f"GET {LIST_PATH}?after=x")
            registry.wait_for_requests(3)
        recorded["calls of discovery"] = registry.requests[:3]
    return {
        name: re.sub(AGE_PATTERNS["age"], "X-Source-Age-Ms: <age>", each) if isinstance(each, str) else each
        for name, each in recorded.items()
    }


# Requests and responses

RESPONSE_HEAD = (
    b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 5\r\nX-Own: 1\r\n"
    b"Connection: close\r\n\r\n"
)


RECORDED_ID = "9b1f03aa5c7e2d41"  # in all recorded requests


def _request(
    service_class: str, method: str, *headers: str, body: bytes = b"", request_id: str = RECORDED_ID
) -> bytes:
    lines = [
        f"X-Call-Id: {request_id}",
        f"X-Call-Class: {service_class}",
        "X-Caller: acme",
        "X-Budget: 4.5",
        *headers,
    ]
    if body:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([f"{method} /api/7f?x=%20y HTTP/1.1", "Host: app.svc", *lines, "", ""]).encode() + body


# The client's request and the server's response, by name; None where no server should get the request.
EXCHANGES: dict[str, tuple[bytes, bytes | None]] = {
    "read": (
        _request("look", "GET", "Accept: */*", "X-Call-Info: a=1,b=2", "X-Again: 1"),
        RESPONSE_HEAD + b"hello",
    ),
    "body": (
        _request("pay", "POST", "Content-Type: text/plain", body=b"twelve bytes"),
        RESPONSE_HEAD + b"hello",
    ),
    "keyed": (_request("amend", "POST", "Idempotency-Key: 5c0f6e1a", body=b"k"), RESPONSE_HEAD + b"hello"),
    "chunked answer": (
        _request("look", "GET"),
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
    ),
    "malformed": (b"GET /api/7f HTTP/1.1\r\nno header at all\r\n\r\n", None),
    "unknown class": (_request("nothing", "GET"), None),
    "unknown path": (b"GET /nothing HTTP/1.1\r\nHost: app.svc\r\n\r\n", None),
    "error": (
        _request("pay", "POST", body=b"e"),
        b"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 4\r\nConnection: close\r\n\r\noops",
    ),
    "reset": (_request("pay", "POST", body=b"r"), b""),
    "refused": (
        _request("pay", "POST", body=b"f"),
        b"HTTP/1.1 503 Service Unavailable\r\nX-Rejected: 1\r\nContent-Length: 4\r\n"
        b"Connection: close\r\n\r\nfull",
    ),
}


def proxy_scenario(folder: Path) -> dict[str, list[str | None]]:
    """Return each request as forwarded to the server, and each response as sent to the client."""
    recorded: dict[str, list[str | None]] = {}
    listen = free_addresses(1)[0]
    with listening_socket() as (listener, address):
        config = base_config(listen) | {
            "known": endpoint_list(1, entry("s-1", address=format_address(address)))
        }
        addresses = {"server": address, "sidecar": listen}
        volatile = {"budget": r"(?i)X-Budget: (\d+\.\d{6})\r", "date": r"(?i)\r\nDate: ([^\r]*)"}
        with sidecar(folder / "n0", config):
            wait_until(lambda: call(listen, "GET", "/health/ready")[0] == 200, "a ready sidecar")
            for number, (name, (recorded_request, server_response)) in enumerate(EXCHANGES.items(), start=1):
                request_id = f"{number:016x}"  # a client sends each id once
                request = recorded_request.replace(RECORDED_ID.encode(), request_id.encode())
                with socket.create_connection(listen, WAIT_TIMEOUT_S) as client:
                    client.sendall(request)
                    forwarded = None
                    if server_response is not None:
                        with accept(listener) as sock:
                            forwarded = mask(read_message(sock), addresses, volatile)
                            forwarded = forwarded.replace(request_id, RECORDED_ID)
                            sock.sendall(server_response)
                    response = read_message(client)
                    client.shutdown(socket.SHUT_WR)
                    while piece := client.recv(65536):
                        response += piece
                    recorded[name] = [forwarded, mask(response, addresses, volatile)]
    return recorded
