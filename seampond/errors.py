"""The tree of errors; each carries the step and the peer of its origin."""


class SeampondError(Exception):
    """Base of every error that seampond raises on purpose.

    Parameters
    ----------
    message : str
        What went wrong and what to do about it.
    step : str
        The step of the work at which the error arose.
    peer : str
        The other side: an address, a name, or empty for none.

    Examples
    --------
    >>> str(SeampondError('no answer', step='read', peer='10.0.0.1:80'))
    'no answer (step read, peer 10.0.0.1:80)'

    """

    def __init__(self, message: str, *, step: str, peer: str = '') -> None:
        """Keep the three parts apart for logs and counters."""
        super().__init__(message)
        self.message = message
        self.step = step
        self.peer = peer

    def __str__(self) -> str:
        """Give the message with its step and peer."""
        where = f'step {self.step}'
        if self.peer:
            where = f'{where}, peer {self.peer}'
        return f'{self.message} ({where})'


class SettingsError(SeampondError):
    """A settings file can't be used; the message names key and cure."""


class LinkError(SeampondError):
    """A link between two processes failed."""


class ForeignMessageError(LinkError):
    """The other side of a link sent what is not our protocol."""


class UntrustedPeerError(LinkError):
    """The other side of a link did not prove the shared secret."""


class EngineError(SeampondError):
    """A backend server failed or answered what it must not."""


class PlatformError(SeampondError):
    """A service of the platform failed."""


class UnknownOutcomeError(PlatformError):
    """A write may or may not have taken effect: read it back."""


class CutAnswerError(UnknownOutcomeError):
    """An answer had begun to come and did not end.

    Parameters
    ----------
    received : int
        How many bytes of its body had come.

    """

    def __init__(
        self, message: str, *, step: str, peer: str, received: int
    ) -> None:
        """Keep how much had come."""
        super().__init__(message, step=step, peer=peer)
        self.received = received


class ConflictError(PlatformError):
    """A conditional write met a row that had changed."""


class PromiseError(SeampondError):
    """The program found one of its own promises broken."""
