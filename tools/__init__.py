"""Tools beside the system: stand-in target, caller, fleet, demonstration."""
