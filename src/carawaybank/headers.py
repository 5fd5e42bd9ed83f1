"""Names of the HTTP headers that carry steering data, and the sets of hop-by-hop headers."""

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

#: Headers that apply to a single connection (RFC 9110, section 7.6.1) or delimit the body on it.
CONNECTION_HEADERS = frozenset(
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
#: Headers that are not forwarded to the next hop.
HOP_BY_HOP_HEADERS = CONNECTION_HEADERS | {"proxy-authenticate", "proxy-authorization", "host"}
