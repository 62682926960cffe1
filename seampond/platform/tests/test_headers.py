"""Tests of the headers that are forwarded from a caller to a server."""

import unittest

from seampond.forwarding.request_encoding import encode_request
from seampond.platform.names import HEADERS
from seampond.testing.gateways import build_job

_INSTANCE = 'i-1'
_COMMAND_HEADERS = (
    b'X-Seampond-Hold',
    b'X-Seampond-Pin-Ms',
    b'X-Seampond-Kv-Backup',
    b'X-Seampond-Expect-Version',
    b'X-Seampond-Weight-Versions',
    b'X-Seampond-Not-Executed',
    b'X-Seampond-Of-A-Later-Version',
    b'Kv-From',
    b'Kv-Fetch',
    b'Kv-Of-A-Later-Version',
)
_FORWARDED_HEADERS = (
    b'X-Seampond-Request-Id',
    b'X-Seampond-Model',
    b'X-Seampond-Token-Usage',
    b'X-Seampond-Prompt-Prefix',
    b'X-Seampond-Length-Hint',
    b'Last-Event-Id',
    b'Content-Type',
    b'X-Other',
    b'X-Kv-From',
    b'Kvass',
)
_GATEWAY_HEADERS = (
    b'X-Seampond-Tenant',
    b'X-Seampond-Deadline-Ms',
    b'X-Seampond-Expect-Instance',
)


def _send(*headers: tuple[bytes, bytes]) -> list[tuple[bytes, bytes]]:
    """Return the headers that a server gets, names in lower case."""
    # The web server passes names in lower case.
    lowercase = [(name.lower(), text) for name, text in headers]
    job = build_job(headers=lowercase)
    head = encode_request(job, HEADERS, _INSTANCE, job.arrived_ms)
    lines = head.partition(b'\r\n\r\n')[0].split(b'\r\n')[1:]
    pairs = [line.partition(b': ') for line in lines]
    return [(name, text) for name, _, text in pairs]


class CallerHeadersTest(unittest.TestCase):
    """A caller can describe its request but not command a server."""

    def test_commands_are_not_forwarded(self) -> None:
        """In any letter case, and if they are repeated."""
        for name in _COMMAND_HEADERS:
            for spelled in (name, name.lower(), name.upper()):
                with self.subTest(name=spelled):
                    sent = _send((spelled, b'1'), (name, b'2'))
                    self.assertNotIn(name.lower(), dict(sent))

    def test_request_headers_are_forwarded(self) -> None:
        """Unchanged, also if they are repeated."""
        for name in _FORWARDED_HEADERS:
            with self.subTest(name=name):
                sent = _send((name, b'One, 1'), (name, b'Two:2'))
                forwarded = [
                    text
                    for sent_name, text in sent
                    if sent_name == name.lower()
                ]
                self.assertEqual(forwarded, [b'One, 1', b'Two:2'])

    def test_headers_of_the_gateway_are_set_once(self) -> None:
        """A caller cannot forge them."""
        for name in _GATEWAY_HEADERS:
            with self.subTest(name=name):
                sent = _send((name, b'forged'), (name.upper(), b'forged'))
                forwarded = [
                    text
                    for sent_name, text in sent
                    if sent_name == name.lower()
                ]
                self.assertEqual(len(forwarded), 1)
                self.assertNotEqual(forwarded[0], b'forged')
