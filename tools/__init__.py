"""Development tools: a simulated target, callers, a local fleet and a demonstration."""
