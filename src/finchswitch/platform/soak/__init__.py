"""A soak: real processes on loopback under series of signals, with callers that account for all requests."""
