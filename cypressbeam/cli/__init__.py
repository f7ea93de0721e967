"""The command-line interface. A node starts without this package, because click takes additional memory."""
