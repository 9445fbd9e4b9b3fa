"""Tests over several packages, and of processes."""
