"""Connections between nodes, and the transfer of configuration bodies over them."""
