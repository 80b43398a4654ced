"""The plane's state in a snapshot (topazbank.state.snapshot): this member's incarnation and version counter,
and the verdicts of others with the ms each had left.  Record 0 is `[incarnation, counter]`, each next one a
verdict as a datagram carries it.  A snapshot that is refused or cut is taken as far as it is good."""

from __future__ import annotations

from dataclasses import replace
from pathlib import Path

import msgpack  # type: ignore[import-untyped]

from topazbank.peers import codec
from topazbank.peers.codec import Malformed, VerdictUpdate
from topazbank.peers.membership import Swim
from topazbank.state import snapshot

SNAPSHOT_MOST = 512 * 1024  # bytes: verdicts_most at 1024 fit in a quarter of it


def save(swim: Swim, now_us: int, path: Path) -> None:
    """Write the plane's state to `path`; raise OSError."""
    records = [msgpack.packb([swim.incarnation, swim.counter])]
    for update, left_ms in swim.verdicts.live(now_us):
        records.append(msgpack.packb(codec.flat(replace(update, ttl_ms=left_ms))))
    snapshot.write(path, records)


def resume(swim: Swim, now_us: int, path: Path) -> tuple[int, bool]:
    """Take what `path` kept into `swim`; give how many verdicts it held and whether it was whole.
    Raise `snapshot.Refused` or OSError: then nothing is taken."""
    kept = snapshot.load(path, SNAPSHOT_MOST)
    if not kept.records:
        return 0, kept.whole
    head = msgpack.unpackb(kept.records[0])
    if not (
        isinstance(head, list) and len(head) == 2 and all(type(each) is int and each >= 0 for each in head)
    ):
        raise snapshot.Refused("record 0 is not [incarnation, counter]")
    held = []
    for record in kept.records[1:]:
        try:
            update = codec.update_from(msgpack.unpackb(record))
        except (Malformed, ValueError):
            continue
        if isinstance(update, VerdictUpdate):
            held.append((update, update.ttl_ms))
    swim.resume(now_us, head[0], head[1], held)
    return len(held), kept.whole
