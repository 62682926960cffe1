"""What callers send, validated at the border."""

from typing import Any

from pydantic import BaseModel, ConfigDict, Field

ESTIMATED_CHARACTERS_PER_TOKEN = 4


class ChatMessage(BaseModel):
    """One message of a chat; fields that we don't use pass through."""

    model_config = ConfigDict(extra='allow')

    role: str
    content: str | list[Any] | None = None

    @property
    def text(self) -> str:
        """The content as one text."""
        if isinstance(self.content, str):
            return self.content
        parts = self.content or []
        return ''.join(
            str(part.get('text', ''))
            for part in parts
            if isinstance(part, dict)
        )


class ChatRequest(BaseModel):
    """A chat completion; `model` names the template."""

    model_config = ConfigDict(extra='allow')

    model: str
    messages: list[ChatMessage] = Field(min_length=1)
    stream: bool = False

    @property
    def prompt_text(self) -> str:
        """All messages, in order."""
        return '\n'.join(message.text for message in self.messages)
