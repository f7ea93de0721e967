"""The distribution tree: how a node joins it, and how the configuration and the list of servers come down to it.

`tree_node.py` joins the parts. Each has its own state:

| module | what it holds |
| --- | --- |
| `context` | what all parts share: settings, connections, clock, randomness |
| `fencing` | the highest epoch seen; messages of older epochs are rejected |
| `registration` | what the node says of itself, and its assignment |
| `root_locator` | the root's address, and the search for it |
| `subscription` | the parent |
| `children` | the subscribers |
| `heartbeats` | the root's heartbeats, and keep-alives |
| `configuration_replica` | the configuration, and its fetch |
| `endpoint_list_replica` | the list of servers |
| `position`, `feed` | what follows from these: whether to search for the root, what each child is sent |
| `outlier_reports` | reports of servers that fail, up the tree, and the root's findings, down it |
"""
