"""Stand-ins for the platform, backends and clients; they need only the standard library."""
