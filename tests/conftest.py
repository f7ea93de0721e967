"""The same cases each time, and no verdict by the clock: a run of the tests says the same twice."""

from hypothesis import settings

settings.register_profile("same", derandomize=True, deadline=None, database=None)
settings.load_profile("same")
