"""A proxy fleet that brings requests to targets with gray failures."""

__version__ = "0.1.0"
