"""Models that validate the JSON of callers."""

from typing import Any

from pydantic import BaseModel, ConfigDict, Field

ESTIMATED_CHARACTERS_PER_TOKEN = 4


class ChatMessage(BaseModel):
    """One message of a chat; unknown fields are forwarded unchanged."""

    model_config = ConfigDict(extra='allow')

    role: str
    content: str | list[Any] | None = None

    @property
    def text(self) -> str:
        """The text of the content, with its text parts joined."""
        if isinstance(self.content, str):
            return self.content
        parts = self.content or []
        return ''.join(
            str(part.get('text', ''))
            for part in parts
            if isinstance(part, dict)
        )


class ChatRequest(BaseModel):
    """A chat completion request; `model` names the template."""

    model_config = ConfigDict(extra='allow')

    model: str
    messages: list[ChatMessage] = Field(min_length=1)
    stream: bool = False

    @property
    def prompt_text(self) -> str:
        """The text of all messages, in order."""
        return '\n'.join(message.text for message in self.messages)
