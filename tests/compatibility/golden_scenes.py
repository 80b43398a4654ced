"""What is done to the processes: each scene gives plain data that a golden file can hold."""

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
    PATIENCE_S,
    Address,
    accepted,
    call,
    exchange,
    free_addresses,
    listening,
    masked,
    message,
    own_host,
    relay,
    sidecar,
    text,
    until,
)

LANES = [
    {"name": "look", "giveUpUs": 5_000_000, "repeat": "read_like"},
    {"name": "amend", "giveUpUs": 5_000_000, "repeat": "idempotency_key", "group": "all"},
    {"name": "pay", "giveUpUs": 5_000_000, "repeat": "non_idempotent"},
]
LIST = "/registry/instances"


def entry(name: str, zone: str = "a", address: str = "127.0.0.1:9", **changes: Any) -> dict[str, Any]:
    """A line of the server list in discovery's form."""
    given = {"name": name, "address": address, "zone": zone, "type": "m", "group": 1}
    return given | {"status": "active", "weight": 1.0, "since_ms": 0} | changes


def listed(index: int, *entries: dict[str, Any], snapshot: bool = True) -> dict[str, Any]:
    return {"index": index, "snapshot": snapshot, "endpoints": list(entries)}


def base_config(listen: Address, discovery: str = "127.0.0.1:1") -> dict[str, Any]:
    settings = {"lanes": LANES, "zone": "a", "discovery": "on_request"}
    return {"name": "n0", "listen": text(listen), "discovery": discovery, "seed": "7", "settings": settings}


# The admin API


ORDERS = [
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
DECLINED = [
    ("GET", "nothing"),
    ("PUT", "nothing"),
    ("PUT", "status"),
    ("GET", "evacuate"),
    ("PUT", "exclude/"),
]


def shape(value: Any) -> Any:
    """Keys, texts and flags as they are; of a number its type; of like rows one; digits in texts as N."""
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


def admin_scene(folder: Path) -> dict[str, Any]:
    """Every call of the admin API of the first of two sidecars with peer plane, duties, zones and state."""
    tcp, udp = free_addresses(4), free_addresses(2, socket.SOCK_DGRAM)
    with ExitStack() as stack:
        listener, address = stack.enter_context(listening())
        servers = [entry(f"s-{zone}", zone, text(address)) for zone in "aab"]
        servers = [each | {"name": f"s-{number}"} for number, each in enumerate(servers, 1)]
        for number in range(2):
            config = base_config(tcp[number]) | {
                "name": f"n{number}",
                "seed": f"{1000 + number:x}",
                "known": listed(1, *servers),
                "mgmt": text(tcp[2 + number]),
                "peer_listen": text(udp[number]),
                "peers": [text(each) for each in udp],
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
        door, doors = tcp[2], tcp[2:]
        for each in doors:
            _seen([each], "ready", lambda _: True)
        assert call(door, "PUT", "/api/exclude/s-2")[0] == 200  # so that members have a verdict to show
        told: dict[str, Any] = {}
        for name in ("status", "servers", "ready"):
            told[f"GET {name}"] = _answered(door, "GET", name)
        told["GET duties"] = [200, shape(_seen(doors, "duties", lambda duties: bool(duties["acts"])))]
        zones = _seen([door], "zones", lambda held: held["probing"] is not None)
        told["GET zones"] = [200, shape(zones | {"probing": "whether this one holds the duty"})]
        members = _seen(
            [door], "members", lambda held: held["verdicts"] and held["members"]["1"][0] == "alive"
        )
        # What is dropped at the start of a tier depends on which process was the first.
        told["GET members"] = [200, shape(members | {"dropped": {}})]
        with socket.create_connection(tcp[0], PATIENCE_S) as client:
            client.sendall(_request("look", "GET"))
            with accepted(listener) as sock:
                message(sock)
                sock.sendall(REPLY + b"hello")
            message(client)
        told["GET status (after a request)"] = _answered(door, "GET", "status")
        used = _seen([door], "servers", lambda held: any(row["latency_ms"] for row in held.values()))
        [row] = [row for row in used.values() if row["latency_ms"]]
        told["GET servers (one that was used)"] = [200, shape(row | {"zone": "a"})]
        for name in ORDERS:
            told[f"PUT {name}"] = _answered(door, "PUT", name)
        for method, name in DECLINED:
            told[f"{method} {name} (declined)"] = _answered(door, method, name)
        return told


def _seen(doors: list[Address], name: str, holds: Callable[[Any], Any]) -> Any:
    """The first answer to a read from any of these for which the condition holds."""
    found: list[Any] = []

    def look() -> bool:
        for door in doors:
            status, body = call(door, "GET", f"/api/{name}")
            if status == 200:
                told = json.loads(body) if body.startswith("{") else body
                found.extend([told] if holds(told) else [])
        return bool(found)

    until(look, f"what is expected of {name}")
    return found[0]


def _answered(door: Address, method: str, name: str) -> list[Any]:
    status, body = call(door, method, f"/api/{name}")
    try:
        return [status, shape(json.loads(body))]
    except ValueError:
        return [status, body]


# Discovery and relays

AGE = {"age": r"(?i)X-Source-Age-Ms: (\d+)"}


def http_list(given: dict[str, Any], *headers: str) -> bytes:
    """An answer of discovery."""
    body = json.dumps(given).encode()
    lines = ["HTTP/1.1 200 OK", f"Content-Length: {len(body)}", *headers, "Connection: close", "", ""]
    return "\r\n".join(lines).encode() + body


class Registry:
    """A stand-in for discovery on threads: answers each call by the version that it names.

    A watch of the newest version waits as long as it asks to; `requests` holds each different call once, in
    the order of their first coming, with placeholders.
    """

    def __init__(self, answers: dict[int | None, bytes]) -> None:
        self.answers = answers
        self.requests: list[str] = []
        self.changed = threading.Condition()
        self._sock = socket.create_server((own_host(), 0), backlog=64)
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

    def answer(self, after: int | None, data: bytes) -> None:
        """Answer calls that name this version (None: those for the whole list) from now on."""
        with self.changed:
            self.answers[after] = data
            self.changed.notify_all()

    def heard(self, count: int) -> None:
        """Wait until so many different calls have come."""
        with self.changed:
            assert self.changed.wait_for(lambda: len(self.requests) >= count, PATIENCE_S), self.requests

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                sock, _ = self._sock.accept()
                threading.Thread(target=self._serve, args=[sock], daemon=True).start()

    def _serve(self, sock: socket.socket) -> None:
        with contextlib.suppress(OSError), sock:
            sock.settimeout(PATIENCE_S)
            data = message(sock)
            told = masked(data, {"discovery": self.address}, {"wait": r"wait_ms=(\d+)"} | AGE)
            after = re.search(rb"after=(\d+)", data)
            wait = re.search(rb"wait_ms=(\d+)", data)
            version = int(after[1]) if after else None
            with self.changed:
                if told not in self.requests:
                    self.requests.append(told)
                    self.changed.notify_all()
                wait_s = int(wait[1]) / 1000 if wait else PATIENCE_S
                self.changed.wait_for(lambda: version in self.answers or self._is_closed, wait_s)
                answer = self.answers.get(version, http_list(listed(version or 0, snapshot=False)))
            sock.sendall(answer)


def discovery_scene(folder: Path) -> list[str]:
    """The calls that a sidecar makes of discovery: the first, a watch, watches behind a relay's answers."""
    answers: dict[int | None, bytes] = {
        0: http_list(listed(41, entry("s-1"))),
        41: http_list(listed(42, entry("s-2"), snapshot=False), 'ETag: "t-42"', "X-Source-Age-Ms: 5"),
        42: http_list(listed(43, entry("s-1"), entry("s-2")), 'ETag: "t-43"', "X-Source-Age-Ms: 5"),
    }
    with Registry(answers) as registry:
        config = base_config(free_addresses(1)[0], text(registry.address))
        with sidecar(folder / "n0", config):
            registry.heard(4)
        return registry.requests[:4]


def relay_scene(folder: Path) -> dict[str, Any]:
    """The calls that a relay makes of discovery, and the bytes of its answers."""
    told: dict[str, Any] = {}
    listen = free_addresses(1)[0]
    servers = [entry("s-1"), entry("s-2", "b", since_ms=1234, status="leaving")]
    with Registry({}) as registry:
        names = {"discovery": registry.address, "relay": listen}

        def ask(line: str, *headers: str) -> str:
            head = "\r\n".join([f"{line} HTTP/1.1", "Host: r", *headers, "", ""])
            return masked(exchange(listen, head.encode()), names)

        config = f'listen = "{text(listen)}"\nupstreams = ["{text(registry.address)}"]\n'
        with relay(folder / "relay", config):
            registry.heard(1)
            told["before any list"] = ask(f"GET {LIST}")
            told["not ready"] = ask("GET /health/ready")
            registry.answer(None, http_list(listed(41, *servers)))
            until(lambda: ask("GET /health/ready").startswith("HTTP/1.1 200"), "the relay's list")
            whole = told["whole list"] = ask(f"GET {LIST}")
            tag = re.search(r"(?i)etag: (\S+)", whole)
            assert tag is not None
            watch, held = f"GET {LIST}?after=41", f"If-None-Match: {tag[1]}"
            told["nothing new"] = ask(watch + "&wait_ms=0", held, "X-Source-Age-Ms: 0")
            registry.answer(41, http_list(listed(42, entry("s-3"), snapshot=False)))
            told["changes"] = ask(watch + "&wait_ms=30000", held)
            told["ready"] = ask("GET /health/ready")
            told["unknown path"] = ask("GET /nothing")
            told["wrong method"] = ask(f"PUT {LIST}")
            told["bad number"] = ask(f"GET {LIST}?after=x")
            registry.heard(3)
        told["calls of discovery"] = registry.requests[:3]
    return {
        name: re.sub(AGE["age"], "X-Source-Age-Ms: <age>", each) if isinstance(each, str) else each
        for name, each in told.items()
    }


# Requests and answers

REPLY = (
    b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 5\r\nX-Own: 1\r\n"
    b"Connection: close\r\n\r\n"
)


def _request(
    kind: str, method: str, *headers: str, body: bytes = b"", ident: str = "9b1f03aa5c7e2d41"
) -> bytes:
    about = [f"X-Call-Id: {ident}", f"X-Call-Class: {kind}", "X-Caller: acme", "X-Budget: 4.5", *headers]
    if body:
        about.append(f"Content-Length: {len(body)}")
    return "\r\n".join([f"{method} /api/7f?x=%20y HTTP/1.1", "Host: app.svc", *about, "", ""]).encode() + body


# Each: the client's request and the server's answer, None where no server is to be asked.
EXCHANGES: dict[str, tuple[bytes, bytes | None]] = {
    "read": (_request("look", "GET", "Accept: */*", "X-Call-Info: a=1,b=2", "X-Again: 1"), REPLY + b"hello"),
    "body": (_request("pay", "POST", "Content-Type: text/plain", body=b"twelve bytes"), REPLY + b"hello"),
    "keyed": (_request("amend", "POST", "Idempotency-Key: 5c0f6e1a", body=b"k"), REPLY + b"hello"),
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


def proxy_scene(folder: Path) -> dict[str, list[str | None]]:
    """Each request as it leaves for the server, and each answer as it leaves for the client."""
    told: dict[str, list[str | None]] = {}
    listen = free_addresses(1)[0]
    with listening() as (listener, address):
        config = base_config(listen) | {"known": listed(1, entry("s-1", address=text(address)))}
        names = {"server": address, "sidecar": listen}
        volatile = {"budget": r"(?i)X-Budget: (\d+\.\d{6})\r", "date": r"(?i)\r\nDate: ([^\r]*)"}
        with sidecar(folder / "n0", config):
            until(lambda: call(listen, "GET", "/health/ready")[0] == 200, "a ready sidecar")
            for name, (request, reply) in EXCHANGES.items():
                with socket.create_connection(listen, PATIENCE_S) as client:
                    client.sendall(request)
                    asked = None
                    if reply is not None:
                        with accepted(listener) as sock:
                            asked = masked(message(sock), names, volatile)
                            sock.sendall(reply)
                    answer = message(client)
                    client.shutdown(socket.SHUT_WR)
                    while piece := client.recv(65536):
                        answer += piece
                    told[name] = [asked, masked(answer, names, volatile)]
    return told
