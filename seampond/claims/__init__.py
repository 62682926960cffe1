"""Claims, which let a request that must not be repeated run at most once."""

from seampond.claims.claim import Claim as Claim
from seampond.claims.claim import ClaimRefusedError as ClaimRefusedError
from seampond.claims.claim import Claims as Claims
