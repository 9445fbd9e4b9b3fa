"""Benchmarks; the measuring modules print JSON."""
