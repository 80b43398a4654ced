"""Well-behaved clients of a soak, as the protocol describes them, and what became of each request."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections import Counter
from dataclasses import dataclass, field

from loopback import new_request_id, read_message, request
from paced_clients import GIVE_UP_S, Connection
from sidecar_balancer.addresses import Address

LEAVE_RATIO = 0.1  # part of the requests whose client leaves before the answer
HANG_RATIO = 0.1  # part of the requests that their server never answers
CLASSES = ("look", "look", "pay", "amend")
_HUNG_PATH = "/api/hang"


@dataclass
class SoakRequest:
    """One request and its outcome.

    Attributes:
        request_id: Its id, the same when it is sent again.
        service_class: Its class.
        budget_s: The time that its client waits, in seconds.
        leaves_after_s: The time after which the client closes its connection; None: it stays.
        sent_at: When it was first sent, on the event loop's clock.
        result: Its status; "left"; "closed" with no answer; "unanswered"; "refused" where nobody listens.
        ended_at: When the result came.
        crossed_close: Whether it was sent again, as its connection closed first.
    """

    request_id: str
    service_class: str
    budget_s: float
    leaves_after_s: float | None
    sent_at: float = 0.0
    result: str = ""
    ended_at: float = 0.0
    crossed_close: bool = False

    @property
    def lateness_s(self) -> float:
        """The time from the end of its budget to its result; negative if that came earlier."""
        return self.ended_at - self.sent_at - self.budget_s


@dataclass
class SoakClients:
    """Clients that go on using their open connections for as long as these stay open.

    Attributes:
        address: The sidecar's address.
        rng: The source of all draws.
        longest_budget_s: The longest time that a request has, in seconds.
        opens_connections: Whether clients may open connections.
        requests: All requests that were sent.
    """

    address: Address
    rng: random.Random
    longest_budget_s: float
    opens_connections: bool = True
    requests: list[SoakRequest] = field(default_factory=list)
    _kept: list[Connection] = field(default_factory=list)

    async def run(self, requests_per_s: float, stop: asyncio.Event) -> None:
        """Send requests until `stop`, and wait for all answers."""
        async with asyncio.TaskGroup() as tasks:
            while not stop.is_set():
                tasks.create_task(self._ask())
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(stop.wait(), self.rng.expovariate(requests_per_s))
        for connection in self._kept:
            connection.writer.close()

    async def _ask(self) -> None:
        rng = self.rng
        budget_s = rng.uniform(0.076, self.longest_budget_s)
        leaves_after_s = budget_s * rng.random() if rng.random() < LEAVE_RATIO else None
        sent = SoakRequest(new_request_id(), rng.choice(CLASSES), budget_s, leaves_after_s)
        path = _HUNG_PATH if rng.random() < HANG_RATIO else "/api/ok"
        is_kept = rng.random() < 0.7
        connection = self._take_kept() if is_kept else None
        if connection is None and not self.opens_connections:
            return
        sent.sent_at = asyncio.get_running_loop().time()
        self.requests.append(sent)
        result = await self._send(sent, path, connection, is_kept)
        if result == "closed" and connection is not None and self.opens_connections:
            sent.crossed_close = True  # a request that crosses the close is sent once more
            result = await self._send(sent, path, None, is_kept)
        sent.result = result
        sent.ended_at = asyncio.get_running_loop().time()

    def _take_kept(self) -> Connection | None:
        while self._kept:
            connection = self._kept.pop(0)
            if not connection.reader.at_eof() and not connection.writer.is_closing():
                return connection
            connection.writer.close()
        return None

    async def _send(self, sent: SoakRequest, path: str, connection: Connection | None, is_kept: bool) -> str:
        """Send a request once; return what came of it."""
        body = b"x" if sent.service_class != "look" else b""
        data = request(
            sent.service_class, path, body, budget=f"{sent.budget_s:.3f}", X_Call_Id=sent.request_id
        )
        headers = {"connection": "close"}
        try:
            async with asyncio.timeout(sent.budget_s + GIVE_UP_S):
                connection = connection or Connection(*await asyncio.open_connection(*self.address))
                connection.writer.write(data)
                answer = asyncio.create_task(read_message(connection.reader))
                try:
                    first_line, headers, _ = await asyncio.wait_for(answer, sent.leaves_after_s)
                    result = first_line.split(" ")[1]
                except TimeoutError:
                    if not answer.cancelled() or sent.leaves_after_s is None:
                        raise
                    result = "left"
        except TimeoutError:
            result = "unanswered"
        except ConnectionRefusedError:
            result = "refused"
        except (OSError, asyncio.IncompleteReadError):
            result = "closed"
        if connection is not None:
            if is_kept and headers.get("connection") != "close":
                self._kept.append(connection)
            elif result == "left":
                connection.writer.transport.abort()
            else:
                connection.writer.close()
        return result

    def results(self) -> Counter[str]:
        """Return the number of requests by result."""
        return Counter(each.result for each in self.requests)
