"""Whole numbers that callers state in headers."""

# Longer numbers are slow to convert, and too large for a float.
_DIGITS_MAX = 9


def parse_count(text: bytes, max_count: int) -> int | None:
    """Return the number, `max_count` at most; None if it is malformed.

    Examples
    --------
    >>> parse_count(b' 80 ', 1000), parse_count(b'9' * 5000, 1000)
    (80, 1000)
    >>> parse_count(b'-1', 1000) is None
    True

    """
    digits = text.strip()
    if not digits.isdigit():
        return None
    if len(digits) > _DIGITS_MAX:
        return max_count
    return min(int(digits), max_count)
