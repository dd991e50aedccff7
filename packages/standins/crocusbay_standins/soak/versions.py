"""Other versions of the hosts, taken from the repository's history."""

import io
import subprocess
import tarfile
from pathlib import Path

HOST_PACKAGES = ("packages/core", "packages/gateway", "platform")


class UnknownVersionError(Exception):
    """Signal that the repository does not have a commit, or no host in it."""


def extract_version(commit: str, folder: Path) -> Path:
    """Write the packages of a host at a commit to a folder, and return it.

    Raise UnknownVersionError if the repository does not have them.
    """
    archive = subprocess.run(
        ["git", "archive", commit, *HOST_PACKAGES],
        cwd=_repository(),
        capture_output=True,
        check=False,
    )
    if archive.returncode:
        reason = archive.stderr.decode(errors="replace").strip()
        raise UnknownVersionError(f"commit {commit!r}: {reason}")
    with tarfile.open(fileobj=io.BytesIO(archive.stdout)) as content:
        content.extractall(folder, filter="data")
    return folder


def package_paths(folder: Path) -> list[str]:
    """Return the import paths of the packages of a host in a folder."""
    return [str(folder / package) for package in HOST_PACKAGES]


def _repository() -> Path:
    return Path(__file__).resolve().parents[4]
