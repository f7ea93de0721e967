"""What an operator does with a running system, over the control listeners of its nodes. Prints nothing itself."""
