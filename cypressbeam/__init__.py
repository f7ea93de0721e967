"""cypressbeam: an API gateway whose nodes discover each other, replicate their configuration and proxy requests."""
