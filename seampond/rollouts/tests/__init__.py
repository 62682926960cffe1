"""Tests of rollouts."""
