"""Golden files: events in and effects out of whole sessions."""
