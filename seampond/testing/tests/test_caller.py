"""What the checks of answers tell when they fail."""

import unittest

from seampond.testing.caller import Chat, Reply, WrongAnswerError, check_chat

_CHAT = Chat('trainer-answer')


class CheckChatTest(unittest.TestCase):
    """Guards against refusals and cut streams that read alike."""

    def check_message(self, reply: Reply, *parts: str) -> None:
        """Check that the error tells what came."""
        with self.assertRaises(WrongAnswerError) as caught:
            check_chat(_CHAT, reply)
        for part in parts:
            self.assertIn(part, str(caught.exception))

    def test_refusal(self) -> None:
        """Status, request and reason are told."""
        body = b'{"error": {"reason": "agent-lost", "run": "maybe"}}'
        self.check_message(
            Reply(502, 'q1', body), 'status 502', 'request q1', 'agent-lost'
        )

    def test_empty_answer(self) -> None:
        """It is told from a stream that was cut."""
        self.check_message(Reply(200, '', b''), 'request unknown', '0 bytes')

    def test_stream_that_was_cut(self) -> None:
        """The end of what came is told."""
        self.check_message(
            Reply(200, 'q1', b'data: {"choices": []}\n\n'),
            'no end mark',
            'status 200',
            '23 bytes',
        )
