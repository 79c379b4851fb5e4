"""Name the builds of the product whose hosts run side by side in a soak."""

import io
import os
import subprocess
import tarfile
from dataclasses import dataclass
from pathlib import Path

from cornelnotch.exceptions import SettingsError
from cornelnotch.soak.plan import Release

__all__ = ["CURRENT_BUILD", "Build", "BuildPair", "export_build"]

PACKAGE = "cornelnotch"


@dataclass(frozen=True, slots=True)
class Build:
    """Source tree that host processes run; without one they run the installed code."""

    name: str
    source: Path | None = None

    def create_environment(self, settings: Path) -> dict[str, str]:
        """Return the environment of a host process of this build."""
        environment = {**os.environ, "CORNELNOTCH_NODE_FILE": str(settings)}
        if self.source is not None:
            environment["PYTHONPATH"] = str(self.source)
        return environment


CURRENT_BUILD = Build("current")


@dataclass(frozen=True, slots=True)
class BuildPair:
    """Builds that an upgrade goes from and to."""

    old: Build = CURRENT_BUILD
    new: Build = CURRENT_BUILD

    def find(self, release: Release) -> Build:
        """Return the build of a release."""
        return self.old if release is Release.OLD else self.new


def export_build(commit: str, repository: Path, folder: Path) -> Build:
    """Write the package as of a commit into `folder` and return it as a build.

    Raise SettingsError if the repository has no such commit.
    """
    command = ["git", "-C", str(repository), "archive", commit, PACKAGE]
    try:
        result = subprocess.run(command, check=True, capture_output=True)
    except (OSError, subprocess.CalledProcessError) as error:
        raise SettingsError(
            f"{repository} has no commit {commit!r} with the package: {error}",
            "name a commit of the repository, and run the command in its work tree",
        ) from error
    folder.mkdir(parents=True, exist_ok=True)
    with tarfile.open(fileobj=io.BytesIO(result.stdout)) as archive:
        archive.extractall(folder, filter="data")
    return Build(commit, folder)
