"""Golden files: the events and effects of whole sessions, and expected reports."""
