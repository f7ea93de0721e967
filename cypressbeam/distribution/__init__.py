"""The distribution tree: how a node joins it, and how it receives the configuration and the list of servers.

`tree_node.py` combines the components. Each has its own state:

| module | contents |
| --- | --- |
| `context` | shared by all components: settings, connections, clock, random number generator |
| `fencing` | the highest epoch seen; messages of older epochs are rejected |
| `registration` | the node's registration at the root, and its assignment |
| `root_locator` | the root's address, and the search for it |
| `subscription` | the parent |
| `children` | the subscribers |
| `heartbeats` | the root's heartbeats, and keep-alives |
| `configuration_replica` | the configuration, and its fetch |
| `endpoint_list_replica` | the list of servers |
| `position`, `feed` | derived from these: whether to search for the root, what each child is sent |
| `outlier_reports` | reports of failing servers, sent up the tree, and the root's ejections, sent down |
"""
