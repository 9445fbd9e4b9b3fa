"""Hypothesis profiles: the same examples on every run, or more by an environment variable."""

import os

from hypothesis import HealthCheck, settings

CHECKS = [HealthCheck.too_slow, HealthCheck.data_too_large, HealthCheck.filter_too_much]
settings.register_profile(
    "steady", derandomize=True, deadline=None, database=None, suppress_health_check=CHECKS
)
settings.register_profile(
    "prove",
    derandomize=False,
    deadline=None,
    database=None,
    print_blob=True,
    suppress_health_check=CHECKS,
    max_examples=int(os.environ.get("PROVE_EXAMPLES", "100")),
)
settings.load_profile("prove" if "PROVE_EXAMPLES" in os.environ else "steady")
