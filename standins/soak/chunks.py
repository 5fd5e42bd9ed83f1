"""Bodies in the chunked transfer coding."""

import random

_MAX_CHUNK_BYTES = 8192


def encode_chunks(body: bytes, rng: random.Random) -> bytes:
    """Returns a body in chunks of drawn sizes, with the last chunk.

    Args:
        body: The body.
        rng: Source of the sizes.
    """
    encoded = bytearray()
    position = 0
    # Most bodies are smaller than the maximum and still consist of several chunks.
    most = min(_MAX_CHUNK_BYTES, max(1, len(body) // 2))
    while position < len(body):
        chunk = body[position : position + rng.randint(1, most)]
        encoded += f"{len(chunk):x}\r\n".encode() + chunk + b"\r\n"
        position += len(chunk)
    return bytes(encoded + b"0\r\n\r\n")
