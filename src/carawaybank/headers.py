"""Names of the HTTP headers that carry what steering needs."""

REQUEST_ID = "Carawaybank-Request-Id"
CUSTOMER = "Carawaybank-Customer"
DEADLINE_MS = "Carawaybank-Deadline-Ms"
DEADLINE_AT = "Carawaybank-Deadline-At"
REPEATABLE = "Carawaybank-Repeatable"
FIRST_SEND = "Carawaybank-First-Send"
VERDICT = "Carawaybank-Verdict"
REASON = "Carawaybank-Reason"
RETRY_AFTER_MS = "Carawaybank-Retry-After-Ms"
TARGET = "Carawaybank-Target"
TICKET = "Carawaybank-Ticket"
TRIED = "Carawaybank-Tried"
FREE = "Carawaybank-Free"
NOT_RUN = "Carawaybank-Not-Run"
DRAINING = "Carawaybank-Draining"
BUSY = "Carawaybank-Busy"

#: Headers that concern one connection (RFC 9110, section 7.6.1) or frame the body on it.
CONNECTION = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
    }
)
#: Headers that are not passed on to the next hop.
HOP_BY_HOP = CONNECTION | {"proxy-authenticate", "proxy-authorization", "host"}
