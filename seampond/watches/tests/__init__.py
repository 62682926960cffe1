"""Tests of seampond.watches."""
