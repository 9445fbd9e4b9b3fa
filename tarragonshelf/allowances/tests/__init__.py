"""Tests of allowances."""
