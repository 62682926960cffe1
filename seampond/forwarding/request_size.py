"""What has arrived of a request, compared with the limits on callers."""

from dataclasses import dataclass

from seampond.forwarding.models import RequestLimits
from seampond.forwarding.refusals import Cause, Refusal

# A header of one byte takes five with its separators, and the request line
# comes on top.
_HEAD_OVERHEAD = 6
# A chunk of one byte takes five more bytes.
_CHUNK_OVERHEAD = 8
# Python objects that stand for a request and for one header.
_REQUEST_BYTES = 8192
_FIELD_BYTES = 160


def compute_held_max_bytes(limits: RequestLimits) -> int:
    """Return the most that a request within the limits holds.

    Examples
    --------
    >>> compute_held_max_bytes(RequestLimits(header_bytes=0, body_bytes=100))
    8292

    """
    head_max_bytes = limits.header_bytes * (_HEAD_OVERHEAD + _FIELD_BYTES)
    return head_max_bytes + _REQUEST_BYTES + limits.body_bytes


@dataclass(slots=True)
class RequestSize:
    """Counts of the bytes and headers of one request.

    Parameters
    ----------
    received_bytes : int
        All bytes, those of empty lines before the request included.
    head_bytes : int
        `received_bytes` at the end of the head, 0 before.
    field_bytes, field_count : int
        Size of names and values, and number, of the headers; after the head,
        of the trailers.
    body_bytes : int
        Size of the content of the body.
    content_end : int
        `received_bytes` when the head ended or content last arrived.
    kept_bytes : int
        What the head holds in memory.

    """

    received_bytes: int = 0
    head_bytes: int = 0
    field_bytes: int = 0
    field_count: int = 0
    body_bytes: int = 0
    content_end: int = 0
    kept_bytes: int = 0

    @property
    def held_bytes(self) -> int:
        """What the request holds in memory.

        Examples
        --------
        >>> RequestSize().held_bytes
        0

        """
        if self.head_bytes:
            # The parser keeps a trailer until it is complete.
            pending_bytes = self.received_bytes - self.content_end
            return self.kept_bytes + self.body_bytes + pending_bytes
        fields = self.field_count * _FIELD_BYTES
        return self.received_bytes + fields

    def add_field(self, name: bytes, text: bytes) -> None:
        """Count a header or trailer."""
        self.field_bytes += len(name) + len(text)
        self.field_count += 1

    def add_content(self, size: int) -> None:
        """Count content of the body."""
        self.body_bytes += size
        self.content_end = self.received_bytes

    def end_head(self) -> None:
        """Record the end of the head."""
        self.kept_bytes = self.held_bytes + _REQUEST_BYTES
        self.head_bytes = self.received_bytes
        self.content_end = self.received_bytes
        self.field_bytes = 0
        self.field_count = 0

    def check(self, limits: RequestLimits) -> None:
        """Check the request so far.

        Raises
        ------
        Refusal
            If it exceeds a limit.

        """
        head_max_bytes = limits.header_bytes * _HEAD_OVERHEAD
        is_long = self.received_bytes - self.content_end > head_max_bytes
        if self.field_bytes > limits.header_bytes:
            raise Refusal(Cause.header_too_large, step='read')
        if is_long and not self.head_bytes:
            raise Refusal(Cause.header_too_large, step='read')
        framing_bytes = self.received_bytes - self.head_bytes - self.body_bytes
        framing_max_bytes = head_max_bytes + self.body_bytes * _CHUNK_OVERHEAD
        if (
            is_long
            or self.body_bytes > limits.body_bytes
            or framing_bytes > framing_max_bytes
        ):
            raise Refusal(Cause.body_too_large, step='read')
