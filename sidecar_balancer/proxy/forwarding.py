"""Request heads forwarded to servers and response headers forwarded to clients."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable

import h11

from sidecar_balancer.downstream.request import ClientRequest
from sidecar_balancer.runtime.headers import Headers

_CONTENT_HEADERS = (b"content-type", b"content-encoding")
_DEFAULT_HOST = b"sidecar"  # HTTP/1.0 allows a request without Host, HTTP/1.1 does not


def content_headers(headers: Iterable[tuple[bytes, bytes]]) -> Headers:
    """Return the headers of a server's response that are forwarded to the client."""
    return [header for header in headers if header[0] in _CONTENT_HEADERS]


def attempt_head(client_request: ClientRequest, remaining_s: float) -> h11.Request:
    """Return the request head of an attempt: the client's headers and the remaining time in seconds."""
    remaining_s = min(remaining_s, client_request.remaining_s(asyncio.get_running_loop().time()))
    headers = [*client_request.headers, (b"X-Budget", b"%.6f" % remaining_s)]
    if not any(name == b"host" for name, _ in headers):
        headers.append((b"Host", _DEFAULT_HOST))
    upload = client_request.upload
    if upload is not None and upload.length is None:
        headers.append((b"Transfer-Encoding", b"chunked"))
    elif upload is not None:
        headers.append((b"Content-Length", str(upload.length).encode()))
    elif client_request.body or client_request.method not in (b"GET", b"HEAD"):
        headers.append((b"Content-Length", str(len(client_request.body)).encode()))
    return h11.Request(method=client_request.method, target=client_request.target, headers=headers)
