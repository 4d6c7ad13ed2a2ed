from hypothesis import settings

# The same examples at every run: a verdict must not depend on when it is asked for.
settings.register_profile("same", derandomize=True, deadline=None, database=None)
settings.load_profile("same")
