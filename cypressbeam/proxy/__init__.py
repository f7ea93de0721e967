"""The data plane: client connections, routing, attempts at servers, and the answers that come back."""
