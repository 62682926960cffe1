"""Rate limits of workspaces, enforced at every entry."""

from seampond.limits.buckets import Limiter as Limiter
