"""cypressbeam: an API gateway whose nodes find each other, keep their configuration and carry the traffic."""
