"""Whole events of a stream, so that two runs can be joined."""

_END = b'\n\n'
_ID = b'id:'


class EventSplitter:
    """Cuts a stream of bytes at the ends of events."""

    def __init__(self) -> None:
        """Start with nothing kept."""
        self.last_id = b''
        self.remainder = b''

    def feed(self, payload: bytes) -> bytes:
        """Give the whole events so far; keep the rest."""
        kept = self.remainder + payload
        end = kept.rfind(_END)
        if end < 0:
            self.remainder = kept
            return b''
        whole = kept[: end + len(_END)]
        self.remainder = kept[end + len(_END) :]
        self._note_id(whole)
        return whole

    def restart(self) -> None:
        """Forget a part of an event that was cut off."""
        self.remainder = b''

    def _note_id(self, whole: bytes) -> None:
        for line in reversed(whole.splitlines()):
            if line.startswith(_ID):
                self.last_id = line[len(_ID) :].strip()
                return
