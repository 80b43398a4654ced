"""Well-behaved clients on kept and on new connections, and what each of their requests came to."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from dataclasses import dataclass, field
from typing import NamedTuple

from loopback import new_request_id, read_message, request
from raw_server import Reader, Writer
from sidecar_balancer.addresses import Address

BUDGETS_S = (0.076, 0.4)
MAX_LATENESS_S = 0.55  # half a second, and 0.05 s for the clients' own process
GIVE_UP_S = 4.0


class Connection(NamedTuple):
    """A client's connection."""

    reader: Reader
    writer: Writer


@dataclass
class PacedClients:
    """Clients that send a number of requests a second, half of them on kept connections.

    Attributes:
        address: The sidecar's address.
        seed: The source of all draws.
        budgets_s: The shortest and the longest time that a request has, in seconds.
        service_classes: The classes of the requests.
        results: The number of requests by status; "closed": the connection ended with no whole answer;
            "unanswered": neither an answer nor a close came.
        late: A line for each request whose answer came more than half a second after its time.
        unanswered: A line for each request that got no answer.
    """

    address: Address
    seed: int
    budgets_s: tuple[float, float] = BUDGETS_S
    service_classes: tuple[str, ...] = ("look",)
    results: Counter[str] = field(default_factory=Counter)
    late: list[str] = field(default_factory=list)
    unanswered: list[str] = field(default_factory=list)
    _kept: list[Connection] = field(default_factory=list)

    async def run(self, seconds: float, requests_per_s: float = 38.0) -> None:
        """Send requests for this long, and wait for their answers."""
        rng = random.Random(self.seed)
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        async with asyncio.TaskGroup() as requests:
            for number in range(int(seconds * requests_per_s)):
                await asyncio.sleep(started_at + number / requests_per_s - loop.time())
                budget_s = rng.uniform(*self.budgets_s)
                service_class = rng.choice(self.service_classes)
                requests.create_task(self._ask(service_class, budget_s, is_kept=number % 2 == 0))
        for connection in self._kept:
            connection.writer.close()
        self._kept.clear()

    async def _ask(self, service_class: str, budget_s: float, is_kept: bool) -> None:
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        body = b"x" if service_class == "pay" else b""
        data = request(service_class, "/api/ok", body, budget=f"{budget_s:.3f}", X_Call_Id=new_request_id())
        connection = self._kept.pop(0) if is_kept and self._kept else None
        description = f"{service_class} {budget_s:.3f} s {'kept' if connection else 'new'}"
        try:
            async with asyncio.timeout(budget_s + GIVE_UP_S):
                connection = connection or Connection(*await asyncio.open_connection(*self.address))
                connection.writer.write(data)
                result, headers, _ = await read_message(connection.reader)
                result = result.split(" ")[1]
        except TimeoutError:
            result, headers = "unanswered", {"connection": "close"}
        except (OSError, asyncio.IncompleteReadError):
            result, headers = "closed", {"connection": "close"}
        self._record(result, description, loop.time() - started_at - budget_s)
        if connection is None:
            return
        if is_kept and headers.get("connection") != "close":
            self._kept.append(connection)
        else:
            connection.writer.close()

    def _record(self, result: str, description: str, lateness_s: float) -> None:
        self.results[result] += 1
        if result in ("closed", "unanswered"):
            self.unanswered.append(f"{description}: {result}")
        elif lateness_s > MAX_LATENESS_S:
            self.late.append(f"{description}: {result}, {lateness_s:.3f} s after its time")

    def check(self) -> None:
        """Assert that each request got one final answer within half a second of its time."""
        assert not self.unanswered, (self.unanswered, self.results)
        assert not self.late, (self.late, self.results)
