"""A strict reading of HTTP/1.1 messages (RFC 9112), to compare the readers of the package with."""

import re

# Several spaces are accepted, as RFC 9112 (3) allows; they move no boundary.
REQUEST_LINE = re.compile(rb"([A-Z]+) +(\S+) +HTTP/1\.([01])")
# The phrase behind a status is not passed on, so that its characters do not matter.
STATUS_LINE = re.compile(rb"HTTP/1\.([01]) ([1-5]\d\d)(?: [^\r\n]*)?")
HEADER = re.compile(rb"([!#$%&'*+.^_`|~0-9A-Za-z-]+):[ \t]*([^\r\n\0]*?)[ \t]*")
CHUNK = re.compile(rb"([0-9A-Fa-f]+)[ \t]*(;[^\r\n]*)?")


class NotStrictError(Exception):
    """The bytes are not framed as RFC 9112 says, or are not complete."""


def read_line(data):
    line, end, rest = data.partition(b"\r\n")
    if not end or b"\r" in line or b"\n" in line:
        raise NotStrictError
    return line, rest


def read_headers(data):
    headers = []
    while True:
        line, data = read_line(data)
        if not line:
            return headers, data
        match = HEADER.fullmatch(line)
        if not match:
            raise NotStrictError
        headers.append((match[1].lower(), match[2]))


def read_chunks(data):
    body = b""
    while True:
        line, data = read_line(data)
        match = CHUNK.fullmatch(line)
        if not match:
            raise NotStrictError
        size = int(match[1], 16)
        if not size:
            _, data = read_headers(data)
            return body, data
        if len(data) < size + 2 or data[size : size + 2] != b"\r\n":
            raise NotStrictError
        body, data = body + data[:size], data[size + 2 :]


def read_body(headers, data):
    """Returns a body that the headers delimit, or None without such headers, and the rest."""
    lengths = [value for name, value in headers if name == b"content-length"]
    codings = [value for name, value in headers if name == b"transfer-encoding"]
    if codings:
        if lengths or len(codings) > 1 or codings[0].lower() != b"chunked":
            raise NotStrictError
        return read_chunks(data)
    if len(lengths) > 1 or (lengths and not re.fullmatch(rb"\d+", lengths[0])):
        raise NotStrictError
    if not lengths:
        return None, data
    size = int(lengths[0])
    if len(data) < size:
        raise NotStrictError
    return data[:size], data[size:]


def read_requests(data):
    """Returns method, path and body of each request up to the first one that is not strict."""
    requests = []
    try:
        while data:
            data = data.lstrip(b"\r\n")  # Empty lines before a request are ignored (2.2).
            line, data = read_line(data)
            match = REQUEST_LINE.fullmatch(line)
            if not match:
                break
            headers, data = read_headers(data)
            body, data = read_body(headers, data)
            requests.append((match[1].decode(), match[2].decode(), body or b""))
            names = {name for name, _ in headers}
            if match[1] == b"CONNECT" or b"host" not in names or match[3] == b"0":
                break
    except NotStrictError:
        pass
    return requests


def read_responses(data, *, method):
    """Returns status and body of each final response up to the first one that is not strict.

    Args:
        data: All bytes of a connection, up to its end.
        method: Method of the requests.
    """
    responses = []
    try:
        while data:
            data = data.lstrip(b"\r\n")
            line, data = read_line(data)
            match = STATUS_LINE.fullmatch(line)
            if not match or match[2] == b"101":
                break
            headers, data = read_headers(data)
            status = int(match[2])
            if status < 200:
                continue
            if method == "HEAD":
                return [*responses, (status, b"")]
            is_framing_faulty = match[1] == b"0" and b"transfer-encoding" in dict(headers)
            if status in (204, 304):
                body = b""
            else:
                body, data = read_body(headers, data)
            if body is None:
                return [*responses, (status, data)]
            responses.append((status, body))
            if is_framing_faulty:
                break  # The connection is closed after it (6.1).
    except NotStrictError:
        pass
    return responses
