"""Names and values of the simulator's wire format, mapped to the terms of this project."""

from __future__ import annotations

from enum import IntFlag, StrEnum, unique

from sidecar_balancer.policy.types import ListKind, Outcome, ServerState


@unique
class InputMessage(StrEnum):
    """The names of messages from the simulator."""

    BATCH_START = "FRAME"
    BATCH_END = "COMMIT"
    LISTED_SERVERS = "PAGE"
    INSTANCE_START = "BEGIN"
    INSTANCE_END = "EXIT"
    ENDPOINT_LIST = "TARGETS"
    REQUEST = "WORK_ITEM"
    RESPONSE_STARTED = "FIRST"
    ATTEMPT_ENDED = "ATTEMPT_END"
    CLIENT_DISCONNECTED = "CLIENT_GONE"
    TIMER_FIRED = "WAKE"
    HEALTH_CHECK_ENDED = "SAMPLED"
    PEER_MESSAGE = "MEMO"


@unique
class OutputMessage(StrEnum):
    """The names of messages to the simulator."""

    BATCH_DONE = "DONE"
    INTERNAL_ERROR = "INTERNAL_ERROR"
    SEND_ATTEMPT = "ASSIGN"
    REJECT = "NOT_NOW"
    FAIL = "SURRENDER"
    CANCEL_ATTEMPT = "ABORT_ATTEMPT"
    SET_TIMER = "REMIND"
    HEALTH_CHECK = "CHECK"
    CLOSE_IDLE_CONNECTIONS = "SHUT_IDLE"
    SEND_PEER_MESSAGE = "POST"
    WATCH_ENDPOINTS = "FOLLOW"
    FETCH_ENDPOINTS = "REFRESH"
    LOG_EVENT = "REMARK"


class RequestFlags(IntFlag):
    """The flags of a request."""

    COST_VALID = 1
    CLIENT_RETRY = 2
    WRITE = 4


LIST_KINDS = {
    "delta": ListKind.DELTA,
    "full": ListKind.SNAPSHOT,
    "cached": ListKind.CACHED,
    "failed": ListKind.FAILED,
}
SERVER_STATES = {
    "ready": ServerState.READY,
    "draining": ServerState.DRAINING,
    "gone": ServerState.REMOVED,
}
OUTCOMES = {
    "delivered": Outcome.DELIVERED,
    "app_error": Outcome.APPLICATION_ERROR,
    "shed": Outcome.REJECTED,
    "expired": Outcome.TIMED_OUT,
    "dial_failed": Outcome.CONNECT_FAILED,
    "dropped": Outcome.CONNECTION_LOST,
    "revoked": Outcome.CANCELLED,
    "unused": Outcome.UNSENT,
}
ALL_PEERS = -1  # receiver of a message that is sent to all peers
EMPTY_TENANT = 0  # stands for no tenant, as null does
