"""The data plane: client connections, routing, attempts at servers and their responses."""
