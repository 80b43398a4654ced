"""Clients that stop in the middle of a request keep others waiting past their time."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "common2"))

from kit import (
    BROKEN,
    HELD,
    TROUBLE,
    CannotRunError,
    Discovery,
    Record,
    Server,
    Sidecar,
    api_request,
    main,
    new_call_id,
    read_message,
    settings,
)

SOCKETS = 256  # TERMS: between 256 and 1,024 descriptors
STOPPED = 110  # clients that stop in the middle of a request; a sidecar with 256 descriptors accepts 96
ASKED = 10
BUDGET_S = 1.0  # half of the class's give-up time
LATE_S = 0.55  # STANDING: half a second after its time; PROTOCOL: each limit 50 ms longer


async def stop_midway(sidecar: Sidecar, record: Record, number: int) -> None:
    """Send half of a head and stay until the sidecar answers or closes."""
    started = record.now()
    try:
        reader, writer = await asyncio.open_connection(sidecar.host, sidecar.port)
        writer.write(b"GET /api HTTP/1.1\r\nHost: app.svc\r\nX-Call-Id: 00")
        data = await asyncio.wait_for(reader.read(), 10)
        record(f"stopped  client {number} got {data[:24]!r} after {record.now() - started:.2f} s")
        writer.close()
    except (OSError, TimeoutError) as error:
        record(f"stopped  client {number}: {error!r} after {record.now() - started:.2f} s")


async def ask(sidecar: Sidecar, record: Record) -> float | None:
    """Send a request on a new connection; return how long after its time it was answered.

    None: the connection was closed with no answer, which this day allows for one that was not read.
    """
    call_id = new_call_id()
    reader, writer = await asyncio.open_connection(sidecar.host, sidecar.port)
    writer.write(api_request(call_id, "buscar-pieza", BUDGET_S))
    sent = record.now()
    record(f"sent     {call_id} buscar-pieza, {BUDGET_S} s")
    try:
        async with asyncio.timeout(BUDGET_S + 8):
            answer = await read_message(reader)
    except TimeoutError:
        record(f"answered {call_id} nothing in {BUDGET_S + 8} s")
        return 8.0
    except (OSError, asyncio.IncompleteReadError):
        record(f"closed   {call_id} with no answer after {record.now() - sent:.3f} s")
        return None
    finally:
        writer.close()
    late = record.now() - sent - BUDGET_S
    record(f"answered {call_id} {answer.status} after {late + BUDGET_S:.3f} s, {late:+.3f} s from its time")
    return late


async def play(record: Record, work: Path) -> int:
    """Let clients stop midway, and others ask beside them."""
    servers = [Server(f"s-{number}", record) for number in range(4)]
    discovery = Discovery(record)
    discovery.servers = servers
    for stand_in in (*servers, discovery):
        await stand_in.start()
    sidecar = Sidecar("n0", work, record)
    sidecar.config = {
        "discovery": discovery.address,
        "known": discovery.whole(),
        "settings": settings(),
        "limits": {"cores": 1.0, "memory_mb": 80, "sockets": SOCKETS},
    }
    try:
        await sidecar.ready(sidecar.start())
        await asyncio.sleep(1)
        before = await ask(sidecar, record)
        if before is None or before > 0:
            raise CannotRunError("a request before the trouble was not answered in time")
        stopped = []
        if TROUBLE:
            stopped = [asyncio.create_task(stop_midway(sidecar, record, number)) for number in range(STOPPED)]
            await asyncio.sleep(0.2)
        asking = []
        for _ in range(ASKED):
            asking.append(asyncio.create_task(ask(sidecar, record)))
            await asyncio.sleep(0.03)
        answers = await asyncio.gather(*asking)
        await asyncio.gather(*stopped)
        lost = sum(late is not None and late > LATE_S for late in answers)
        record(f"{lost} of {ASKED} requests answered more than {LATE_S} s after their time, or never")
        return BROKEN if lost else HELD
    finally:
        sidecar.end()
        for stand_in in (*servers, discovery):
            stand_in.stop()


main(play)
