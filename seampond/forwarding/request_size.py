"""What has arrived of a request, compared with the limits on callers."""

from dataclasses import dataclass

from seampond.forwarding.models import RequestLimits
from seampond.forwarding.refusals import Cause, Refusal

# A header of one byte takes five with its separators, and the request line
# comes on top.
_HEAD_OVERHEAD = 6
# A chunk of one byte takes five more bytes.
_CHUNK_OVERHEAD = 8


@dataclass(slots=True)
class RequestSize:
    """Counts of the bytes and headers of one request.

    Parameters
    ----------
    received_bytes : int
        All bytes, those of empty lines before the request included.
    head_bytes : int
        `received_bytes` at the end of the head, 0 before.
    field_bytes : int
        Size of the names and values of the headers; after the head, of the
        trailers.
    body_bytes : int
        Size of the content of the body.

    """

    received_bytes: int = 0
    head_bytes: int = 0
    field_bytes: int = 0
    body_bytes: int = 0

    def add_field(self, name: bytes, text: bytes) -> None:
        """Count a header or trailer."""
        self.field_bytes += len(name) + len(text)

    def end_head(self) -> None:
        """Record the end of the head."""
        self.head_bytes = self.received_bytes
        self.field_bytes = 0

    def check(self, limits: RequestLimits) -> None:
        """Check the request so far.

        Raises
        ------
        Refusal
            If it exceeds a limit.

        """
        head_max_bytes = limits.header_bytes * _HEAD_OVERHEAD
        if self.field_bytes > limits.header_bytes:
            raise Refusal(Cause.header_too_large, step='read')
        if not self.head_bytes:
            if self.received_bytes > head_max_bytes:
                raise Refusal(Cause.header_too_large, step='read')
            return
        framing_bytes = self.received_bytes - self.head_bytes - self.body_bytes
        framing_max_bytes = head_max_bytes + self.body_bytes * _CHUNK_OVERHEAD
        if (
            self.body_bytes > limits.body_bytes
            or framing_bytes > framing_max_bytes
        ):
            raise Refusal(Cause.body_too_large, step='read')
