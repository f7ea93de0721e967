"""Blob transfer: configuration bodies between nodes, addressed by digest (docs/design/news.md).

Messages refer to a body by its digest. A node that does not have it fetches it from the sender of the message, over a
separate connection so that messages never queue behind it. Bodies are delta-encoded (delta.py) and sent in chunks. The
receiver requests one window at a time, so a slow link never has more than a window in flight; the sender paces its
chunks by the rate of its own link.

| module | contents |
| --- | --- |
| `link` | interfaces of the connections, and how much of the link's rate transfers use |
| `store` | the bodies that the node holds |
| `fetcher` | incoming transfers |
| `server` | outgoing transfers |
| `transfer` | combines the three |
"""
