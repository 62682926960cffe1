"""Tests of seampond.sharing."""
