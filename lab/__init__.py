"""lab: stand-ins for what surrounds the gateway, and whole small systems of real processes on loopback."""
