"""The gateway process: wires its components together, executes their effects and serves the control API."""
