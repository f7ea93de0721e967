"""The commands for people. A node is started without this package: arguments, colours and help cost memory."""
