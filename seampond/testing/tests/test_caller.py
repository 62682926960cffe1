"""Tests of the error messages of response checks."""

import unittest

from seampond.testing.caller import (
    ChatRequest,
    Reply,
    WrongAnswerError,
    check_chat,
)

_CHAT = ChatRequest('trainer-answer')


class CheckChatTest(unittest.TestCase):
    """Guards against messages that confuse refusals and broken streams."""

    def check_message(self, reply: Reply, *parts: str) -> None:
        """Check that the error message contains the given parts."""
        with self.assertRaises(WrongAnswerError) as caught:
            check_chat(_CHAT, reply)
        for part in parts:
            self.assertIn(part, str(caught.exception))

    def test_refusal(self) -> None:
        """The message has status, request and reason."""
        body = b'{"error": {"reason": "agent-lost", "run": "maybe"}}'
        self.check_message(
            Reply(502, 'q1', body), 'status 502', 'request q1', 'agent-lost'
        )

    def test_empty_answer(self) -> None:
        """The message differs from that of an interrupted stream."""
        self.check_message(Reply(200, '', b''), 'request unknown', '0 bytes')

    def test_interrupted_stream(self) -> None:
        """The message has the status and size of what was received."""
        self.check_message(
            Reply(200, 'q1', b'data: {"choices": []}\n\n'),
            'no end mark',
            'status 200',
            '23 bytes',
        )
