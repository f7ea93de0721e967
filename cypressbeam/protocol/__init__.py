"""What is exchanged: messages between nodes, the operator's configuration document, a process's settings file."""
