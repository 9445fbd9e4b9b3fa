"""Measurements, apart from the tests; each prints JSON."""
