"""Tests across packages, and tests that start separate processes."""
