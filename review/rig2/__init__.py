"""Stand-ins and a small system of separate processes, for the scripts of the second review."""
