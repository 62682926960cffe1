"""Which headers of a caller reach a server."""

import unittest

from seampond.forwarding.request_encoding import encode_request
from seampond.platform.names import HEADERS
from seampond.testing.gateways import build_job

_INSTANCE = 'i-1'
_COMMANDS = (
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
_PASSED = (
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
_OURS = (
    b'X-Seampond-Tenant',
    b'X-Seampond-Deadline-Ms',
    b'X-Seampond-Expect-Instance',
)


def _send(*headers: tuple[bytes, bytes]) -> list[tuple[bytes, bytes]]:
    """Give the headers that a server gets of these, names in lower case."""
    # The web server hands names on in lower case.
    given = [(name.lower(), text) for name, text in headers]
    job = build_job(headers=given)
    head = encode_request(job, HEADERS, _INSTANCE, job.arrived_ms)
    lines = head.partition(b'\r\n\r\n')[0].split(b'\r\n')[1:]
    pairs = [line.partition(b': ') for line in lines]
    return [(name, text) for name, _, text in pairs]


class CallersHeadersTest(unittest.TestCase):
    """A caller describes its request and commands no server."""

    def test_commands_are_not_passed_on(self) -> None:
        """Whatever their case, and however often they are sent."""
        for name in _COMMANDS:
            for spelled in (name, name.lower(), name.upper()):
                with self.subTest(name=spelled):
                    sent = _send((spelled, b'1'), (name, b'2'))
                    self.assertNotIn(name.lower(), dict(sent))

    def test_what_describes_a_request_is_passed_on(self) -> None:
        """Unchanged, also where it is sent twice."""
        for name in _PASSED:
            with self.subTest(name=name):
                sent = _send((name, b'One, 1'), (name, b'Two:2'))
                told = [text for known, text in sent if known == name.lower()]
                self.assertEqual(told, [b'One, 1', b'Two:2'])

    def test_ours_are_set_once(self) -> None:
        """What a caller says of them is not passed on."""
        for name in _OURS:
            with self.subTest(name=name):
                sent = _send((name, b'forged'), (name.upper(), b'forged'))
                told = [text for known, text in sent if known == name.lower()]
                self.assertEqual(len(told), 1)
                self.assertNotEqual(told[0], b'forged')
