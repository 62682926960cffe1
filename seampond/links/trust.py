"""Both sides of a link prove the shared secret before anything counts."""

import asyncio
import hmac
import secrets
from collections.abc import Callable
from typing import TypeVar

from seampond.errors import ForeignMessageError, LinkError, UntrustedPeerError
from seampond.links.connection import Connection
from seampond.links.messages import PROTOCOL_VERSION, Hello, Message, Proof

HANDSHAKE_SECONDS = 5
NONCE_BYTES = 16
_DIGEST = 'sha256'
_DIALER = b'dialer'
_LISTENER = b'listener'

_Expected = TypeVar('_Expected', bound=Message)
HelloMaker = Callable[[bytes], Hello]


def _with_length(part: bytes) -> bytes:
    return len(part).to_bytes(2, 'big') + part


def _digest(secret: str, side: bytes, hello: Hello, other: Hello) -> bytes:
    parts = (
        side,
        hello.nonce,
        hello.name.encode(),
        hello.incarnation.encode(),
        other.nonce,
        other.name.encode(),
    )
    # Lengths keep neighbouring parts apart.
    text = b''.join(map(_with_length, parts))
    return hmac.digest(secret.encode(), text, _DIGEST)


async def _expect(link: Connection, kind: type[_Expected]) -> _Expected:
    batch = await link.receive()
    if len(batch) != 1 or not isinstance(batch[0], kind):
        raise ForeignMessageError(
            f'expected {kind.__name__} alone', step='handshake', peer=link.peer
        )
    return batch[0]


def _send_alone(link: Connection, message: Message) -> None:
    # The other side takes one step a packet, whatever we send next.
    link.send(message)
    link.flush()


async def _exchange(
    link: Connection, hello: Hello, secret: str, sides: tuple[bytes, bytes]
) -> Hello:
    own_side, other_side = sides
    _send_alone(link, hello)
    other = await _expect(link, Hello)
    if other.version != PROTOCOL_VERSION:
        raise ForeignMessageError(
            f'speaks version {other.version}, not {PROTOCOL_VERSION}',
            step='handshake',
            peer=link.peer,
        )
    _send_alone(link, Proof(_digest(secret, own_side, hello, other)))
    proof = await _expect(link, Proof)
    wanted = _digest(secret, other_side, other, hello)
    if not hmac.compare_digest(proof.digest, wanted):
        raise UntrustedPeerError(
            'wrong shared secret: set the same [links] secret on both sides',
            step='handshake',
            peer=link.peer,
        )
    return other


async def shake_hands(
    link: Connection, make_hello: HelloMaker, secret: str, *, dialed: bool
) -> Hello:
    """Exchange hellos and proofs on a new connection.

    Explanation
    -----------
    Each side sends a fresh nonce and then a digest over both nonces, keyed
    by the secret, so that neither a listener nor a recording of an earlier
    link can pass for a member [1]_.

    Parameters
    ----------
    link : Connection
        The new connection.
    make_hello : Callable[[bytes], Hello]
        Gives our hello around a nonce.
    secret : str
        The shared secret from the settings.
    dialed : bool
        Whether this side opened the connection.

    Returns
    -------
    Hello
        What the other side says of itself.

    Raises
    ------
    UntrustedPeerError
        If its proof is wrong.
    ForeignMessageError
        If it speaks another protocol or version.
    LinkError
        If it ended the connection or took longer than five seconds.

    References
    ----------
    .. [1] RFC 2104, HMAC: Keyed-Hashing for Message Authentication, 1997.

    """
    sides = (_DIALER, _LISTENER) if dialed else (_LISTENER, _DIALER)
    hello = make_hello(secrets.token_bytes(NONCE_BYTES))
    try:
        async with asyncio.timeout(HANDSHAKE_SECONDS):
            other = await _exchange(link, hello, secret, sides)
    except asyncio.TimeoutError as error:
        raise LinkError(
            'no answer to our hello', step='handshake', peer=link.peer
        ) from error
    link.accept_long_packets()
    return other
