"""Model checking of the replicated state: an explicit-state search over the real acceptors, stores and rounds."""
