"""Durable state: the database of a machine with a disk, and atomic replacement of files."""
