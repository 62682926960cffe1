"""Requests that end the servers which run them."""

from seampond.quarantine.fingerprints import fingerprint as fingerprint
from seampond.quarantine.fingerprints import (
    format_fingerprint as format_fingerprint,
)
