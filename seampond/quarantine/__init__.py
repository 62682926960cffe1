"""Quarantine of requests that crash the servers that run them."""

from seampond.quarantine.fingerprints import fingerprint as fingerprint
from seampond.quarantine.fingerprints import (
    fingerprint_part as fingerprint_part,
)
from seampond.quarantine.fingerprints import (
    format_fingerprint as format_fingerprint,
)
