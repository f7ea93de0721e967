"""Durable state: the database of a machine with a disk, and files that are replaced as a whole."""
