"""A soak: real processes under drawn clients, signals, restarts and configurations, judged only from outside."""
