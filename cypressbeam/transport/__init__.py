"""Connections between nodes, and the transfer of configuration bodies beside them."""
