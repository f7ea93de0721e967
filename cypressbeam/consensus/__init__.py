"""Consensus on the configuration among the core machines, without I/O: messages, ticks and completed disk writes are
inputs, effects are outputs. No module here opens a socket or a file, or reads a clock."""
