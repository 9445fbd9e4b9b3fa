"""Adapter for the outer platform's HTTP API and settings; it makes no decisions itself."""
