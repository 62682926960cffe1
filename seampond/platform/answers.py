"""Decoding of the store's answers, which may hold any bytes.

An answer that is no page is refused as a whole.  A row that is not valid
neither hides the others nor ends a follower: if its key is known it has no
content, which no table takes for valid, and otherwise it is left out.
"""

import base64
import json
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Annotated, Any

import msgspec

from seampond.platform import names
from seampond.platform.rows import DECODE_ERRORS, NonNegativeInt
from seampond.watches import Row, make_version

# An era and a revision are held in one number of 64 bits.
MAX_ERA = 8_388_607
_REVISION_MAX = 1_099_511_627_775

_Revision = Annotated[int, msgspec.Meta(ge=0, le=_REVISION_MAX)]


class Answer(msgspec.Struct, frozen=True):
    """A page of rows that are not decoded yet."""

    rows: list[Any]
    ver: _Revision
    now_ms: NonNegativeInt
    more: bool = False


class _Key(msgspec.Struct, frozen=True):
    key: str = msgspec.field(name=names.KEY_FIELD)


class _Row(_Key, frozen=True, kw_only=True):
    value: str | None = None
    ver: _Revision = 0
    gone: bool | None = False


@dataclass(frozen=True, slots=True)
class AnswerRows:
    """Rows of an answer.

    Parameters
    ----------
    reasons : set[str]
        Why rows were not valid, without repetitions.
    left_out : int
        Number of rows whose key is not known.

    """

    rows: tuple[Row, ...]
    reasons: set[str]
    left_out: int


def decode_answer(text: bytes) -> Answer:
    """Decode an answer of the store.

    Raises
    ------
    ValueError, RecursionError, OverflowError, msgspec.MsgspecError
        If it is not a page.

    """
    # Unlike that of `msgspec`, this decoder accepts lone surrogates.
    return msgspec.convert(json.loads(text), Answer, strict=False)


def decode_rows(answer: Answer, era: int) -> AnswerRows:
    """Decode the rows of an answer.

    Examples
    --------
    >>> answer = decode_answer(
    ...     b'{"ver": 3, "now_ms": 1, "rows": [7,'
    ...     b' {"tls-key": "a", "value": 1}, {"tls-key": "b", "value": "eA"}]}'
    ... )
    >>> [row.key for row in decode_rows(answer, 0).rows]
    ['a', 'b']

    """
    reasons: set[str] = set()
    rows = tuple(
        row for raw in answer.rows for row in _decode_row(raw, era, reasons)
    )
    return AnswerRows(rows, reasons, len(answer.rows) - len(rows))


def _decode_row(raw: Any, era: int, reasons: set[str]) -> Iterator[Row]:
    """Yield a row unless not even its key is known."""
    try:
        fields = msgspec.convert(raw, _Row, strict=False)
        content = base64.b64decode(fields.value or '')
    except DECODE_ERRORS as error:
        reasons.add(f'{type(error).__name__}: {error}')
        yield from _decode_key(raw, reasons)
        return
    yield Row(
        _clean(fields.key),
        content,
        make_version(era, fields.ver),
        is_deleted=bool(fields.gone),
    )


def _decode_key(raw: Any, reasons: set[str]) -> Iterator[Row]:
    """Yield a row without content."""
    try:
        key = msgspec.convert(raw, _Key).key
    except DECODE_ERRORS as error:
        reasons.add(f'left out, {type(error).__name__}: {error}')
        return
    yield Row(_clean(key), b'', 0)


def _clean(key: str) -> str:
    """Return a key without lone surrogates, which cannot be encoded."""
    return key.encode(errors='replace').decode()
