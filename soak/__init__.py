"""Soak test: real processes under randomized faults, with their guarantees checked throughout."""
