"""Measured slopes: what one more of each thing costs."""
