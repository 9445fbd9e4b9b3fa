"""Upgrade test: ``python -m soak.upgrade --old COMMIT`` prints one JSON object per seed."""

import json
import shutil
import sys
import tempfile
from pathlib import Path
from random import SystemRandom

import fire

from ._upgrade import ROOT, create_later_build, extract_commit, run_upgrade


def main(
    *,
    old: str = "",
    new: str = "",
    later: bool = False,
    seed: int = 0,
    runs: int = 1,
    back: bool = True,
    **sizes,
) -> None:
    """Upgrade from a commit to another one or to the working tree, and back again.

    Exit with status 1 if a guarantee was violated. The logs are then kept.

    Parameters
    ----------
    old, new : str
        Commits; by default the working tree.
    later : bool
        Whether the new build also sends messages of a kind that no build knows.
    seed : int
        First seed; if it is 0, a random one.
    runs : int
        Number of consecutive seeds.
    back : bool
        Whether the old build replaces the new one again.
    **sizes : int or bool
        Options of ``run_upgrade``.
    """
    seed = seed or SystemRandom().randrange(1 << 32)
    has_violations = False
    with tempfile.TemporaryDirectory(prefix="builds-") as folder:
        builds = [
            extract_commit(str(commit), Path(folder)) if commit else ROOT for commit in (old, new)
        ]
        if later:
            builds[1] = create_later_build(builds[1], Path(folder))
        if back:
            builds.append(builds[0])
        for number in range(seed, seed + runs):
            path = Path(tempfile.mkdtemp(prefix=f"upgrade-{number}-"))
            result = run_upgrade(number, tuple(builds), path, **sizes)
            print(json.dumps(result), flush=True)
            has_violations = has_violations or bool(result["broken"])
            if not result["broken"]:
                shutil.rmtree(path)
    sys.exit(1 if has_violations else 0)


if __name__ == "__main__":
    fire.Fire(main)
