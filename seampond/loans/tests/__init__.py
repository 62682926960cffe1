"""Tests of lent retries."""
