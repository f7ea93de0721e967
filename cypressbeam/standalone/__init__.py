"""The older program: a single proxy node that is given its configuration and asks a discovery service for servers."""
