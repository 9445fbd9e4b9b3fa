"""Randomized soak: real processes, faults from outside, and the promises checked meanwhile."""
