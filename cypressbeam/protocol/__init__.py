"""External formats: messages between nodes, the operator's configuration document, the settings file of a process."""
