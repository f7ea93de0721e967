"""Blob transfer: bodies of configurations between nodes, by their digests (docs/design/news.md).

Messages name a body by its digest; a node that lacks it fetches it from the one that named it, over a connection
beside the one for messages, so nothing small waits behind it. It comes packed (delta.py), in chunks that the fetching
side asks for a window at a time: so a thin link never holds more than a window of it. The handing side spaces its
chunks by its own link.

| module | what it holds |
| --- | --- |
| `link` | what is needed of connections; shares of the link |
| `store` | the bodies that are here |
| `fetcher` | those on their way here |
| `server` | those on their way to others |
| `transfer` | the three, joined |
"""
