"""Division of the bytes of a connection at the ends of its requests."""

_LINE_ENDS = b'\r\n\r\n'
_OVERLAP = len(_LINE_ENDS) - 1


class MessageSplitter:
    """Divides received bytes so that no piece holds bytes of two requests.

    Explanation
    -----------
    The parser calls back for all requests among the bytes that it is given.
    A head, a chunked body and trailers end with an empty line, any other body
    after its stated length.  Cutting at each empty line, and at the end of a
    stated length, lets the parser stop between two requests.  Where a message
    really ends is decided by the parser alone.
    """

    def __init__(self) -> None:
        """Initialize the state between two requests."""
        self._body_left = 0
        self._last = b''

    def expect_body(self, size: int) -> None:
        """Record that a body of a stated length follows."""
        self._body_left = size
        self._last = b''

    def find_end(self, received: bytes | bytearray, start: int) -> int:
        """Return where the piece ends that begins at `start`.

        Explanation
        -----------
        The piece counts as parsed then.
        """
        if self._body_left:
            end = min(len(received), start + self._body_left)
            self._body_left -= end - start
            return end
        end = self._find_empty_line(received, start)
        # A copy: the bytes may be removed from a bytearray meanwhile.
        last = bytes(received[max(start, end - _OVERLAP) : end])
        self._last = (self._last + last)[-_OVERLAP:]
        return end

    def _find_empty_line(self, received: bytes | bytearray, start: int) -> int:
        """Return the end of the next empty line, or of all bytes."""
        # An empty line may have begun in the piece before.
        border = self._last + received[start : start + _OVERLAP]
        found = border.find(_LINE_ENDS)
        if found >= 0:
            return start + found + len(_LINE_ENDS) - len(self._last)
        found = received.find(_LINE_ENDS, start)
        return found + len(_LINE_ENDS) if found >= 0 else len(received)
