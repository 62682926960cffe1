"""Exception hierarchy; each error carries its step and peer."""


class SeampondError(Exception):
    """Base class of all errors raised by seampond.

    Parameters
    ----------
    message : str
        What went wrong and how to fix it.
    step : str
        The step at which the error occurred.
    peer : str
        Address or name of the remote side, empty for none.

    Examples
    --------
    >>> str(SeampondError('no answer', step='read', peer='10.0.0.1:80'))
    'no answer (step read, peer 10.0.0.1:80)'

    """

    def __init__(self, message: str, *, step: str, peer: str = '') -> None:
        """Initialize the error."""
        super().__init__(message)
        self.message = message
        self.step = step
        self.peer = peer

    def __str__(self) -> str:
        """Return the message with its step and peer."""
        where = f'step {self.step}'
        if self.peer:
            where = f'{where}, peer {self.peer}'
        return f'{self.message} ({where})'


class SettingsError(SeampondError):
    """A settings file is invalid."""


class LinkError(SeampondError):
    """A link between two processes failed."""


class ForeignMessageError(LinkError):
    """The peer of a link sent data that violates the protocol."""


class UntrustedPeerError(LinkError):
    """The peer of a link failed to authenticate."""


class EngineError(SeampondError):
    """A backend server failed or sent an invalid answer."""


class PlatformError(SeampondError):
    """A service of the platform failed."""


class UnknownOutcomeError(PlatformError):
    """A write may or may not have taken effect."""


class CutAnswerError(UnknownOutcomeError):
    """An answer was truncated.

    Parameters
    ----------
    received : int
        Number of bytes of its body that were received.

    """

    def __init__(
        self, message: str, *, step: str, peer: str, received: int
    ) -> None:
        """Initialize the error."""
        super().__init__(message, step=step, peer=peer)
        self.received = received


class ConflictError(PlatformError):
    """A conditional write failed because the row had changed."""


class PromiseError(SeampondError):
    """A promise would have been broken."""
