"""A TCP server that runs a script on each connection."""

import socket
import threading
from collections.abc import Callable

Script = Callable[[socket.socket], None]


class ScriptedServer:
    """Accepts connections and runs the next script on each; the last script is reused."""

    def __init__(self, *scripts: Script) -> None:
        self._scripts = list(scripts)
        self._socket = socket.create_server(("127.0.0.1", 0))
        self.connections: list[socket.socket] = []
        self.received: list[bytes] = []
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def address(self) -> str:
        host, port = self._socket.getsockname()
        return f"{host}:{port}"

    def close(self) -> None:
        self._socket.close()
        for connection in self.connections:
            connection.close()

    def _accept(self) -> None:
        while True:
            try:
                connection, _ = self._socket.accept()
            except OSError:
                return
            script = self._scripts.pop(0) if len(self._scripts) > 1 else self._scripts[0]
            self.connections.append(connection)
            threading.Thread(target=self._run, args=(script, connection), daemon=True).start()

    def _run(self, script: Script, connection: socket.socket) -> None:
        try:
            script(connection)
        except OSError:
            connection.close()


def read_request(connection: socket.socket) -> bytes:
    """Reads one request and returns it with its body; stops early if the peer closes."""
    data = b""
    while b"\r\n\r\n" not in data:
        chunk = connection.recv(65536)
        if not chunk:
            return data
        data += chunk
    head, _, body = data.partition(b"\r\n\r\n")
    length = 0
    for line in head.split(b"\r\n"):
        if line.lower().startswith(b"content-length:"):
            length = int(line.split(b":")[1])
    while len(body) < length:
        body += connection.recv(65536)
    return head + b"\r\n\r\n" + body


def make_response(request_id: str, body: bytes = b"whole", *, length: int | None = None) -> bytes:
    """Returns a response as bytes; ``length`` overrides the announced ``Content-Length``."""
    size = len(body) if length is None else length
    return (
        f"HTTP/1.1 200 OK\r\nCarawaybank-Request-Id: {request_id}\r\nContent-Length: {size}\r\n\r\n"
    ).encode() + body
