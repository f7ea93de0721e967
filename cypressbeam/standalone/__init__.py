"""The standalone program: one proxy node with a configuration file, which gets its server list from discovery."""
