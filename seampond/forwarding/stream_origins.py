"""The server version that began a stream."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class StreamOrigin:
    """Pool and software version of the server that began a stream.

    Explanation
    -----------
    The events of two versions do not fit together, and servers do not check
    it, so a stream may be resumed only at the version that began it.
    """

    pool: str
    version: str
