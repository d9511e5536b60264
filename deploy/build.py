"""Build of the programs that the platform starts, into target/deps.

Needs the standard library and pip. The modules of this repository are removed first:
a build that fails must not leave an older version behind, which would be started.
"""

import argparse
import compileall
import hashlib
import os
import pathlib
import re
import shutil
import subprocess
import sys
from importlib import metadata

NAMESPACE = "hornbeamshore"
# Written last by a package step, and present in folders of earlier versions as well.
READY_MARKER = ".ready"
# Read by hornbeamshore.base.build_info.
FINGERPRINT_PATH = pathlib.Path("base", "source_fingerprint")
FINGERPRINT_DIGITS = 16


class BuildError(Exception):
    """A step of the build failed."""


class Build:
    """Build of one checkout.

    Parameters
    ----------
    root : pathlib.Path
        Root of the checkout.
    """

    def __init__(self, root):
        self.root = root
        self.target = root / "target"
        self.packages = self.target / "deps"
        self.modules = self.packages / NAMESPACE

    def run(self):
        """Install the required packages and the modules; return the fingerprint.

        Raises
        ------
        BuildError
            If a step failed. No module is installed then.
        """
        self._discard(self.modules)
        if not self.has_required_packages():
            self._install_packages()
        return self._install_modules()

    def fingerprint(self):
        """Return a digest of the names and contents of all sources, as hex digits."""
        digest = hashlib.sha256()
        for folder in self._source_folders():
            for path in sorted(folder.rglob("*")):
                if path.is_file() and "__pycache__" not in path.parts:
                    name = path.relative_to(folder).as_posix()
                    content = hashlib.sha256(path.read_bytes()).hexdigest()
                    digest.update(f"{name} {content}\n".encode())
        return digest.hexdigest()[:FINGERPRINT_DIGITS]

    def has_required_packages(self):
        """Return whether the packages are installed and usable by this interpreter.

        Installed versions are compared, not times of files: a checkout may be newer
        than a folder with the right packages, and older than one with wrong ones.
        """
        if not (self.packages / READY_MARKER).exists():
            return False
        installed = {
            _normalize(dist.metadata["Name"] or ""): dist.version
            for dist in metadata.distributions(path=[str(self.packages)])
            if _is_usable(dist)
        }
        return self._required_versions().items() <= installed.items()

    def _required_versions(self):
        versions = {}
        for line in self._requirements.read_text(encoding="utf-8").splitlines():
            name, separator, version = line.partition("==")
            if separator:
                versions[_normalize(name.strip())] = version.strip()
        return versions

    @property
    def _requirements(self):
        return self.root / "requirements.txt"

    def _source_folders(self):
        packages = sorted(self.root.glob(f"packages/*/src/{NAMESPACE}"))
        return [*packages, self.root / "platform" / "src" / NAMESPACE]

    def _install_packages(self):
        staging = self._empty_staging_folder("deps.new")
        command = [sys.executable, "-m", "pip", "install", "--quiet"]
        command += ["--target", str(staging), "--requirement", str(self._requirements)]
        result = subprocess.run(command, stdin=subprocess.DEVNULL)
        if result.returncode:
            raise BuildError(f"pip ended with code {result.returncode}")
        # Some packages contain files for other Pythons, which do not compile.
        compileall.compile_dir(staging, ddir=str(self.packages), quiet=2)
        (staging / READY_MARKER).touch()
        self._discard(self.packages)
        staging.rename(self.packages)

    def _install_modules(self):
        staging = self._empty_staging_folder(f"{NAMESPACE}.new")
        for folder in self._source_folders():
            shutil.copytree(
                folder,
                staging,
                ignore=shutil.ignore_patterns("__pycache__"),
                dirs_exist_ok=True,
            )
        if not compileall.compile_dir(staging, ddir=str(self.modules), quiet=1):
            raise BuildError("a module does not compile")
        fingerprint = self.fingerprint()
        path = staging / FINGERPRINT_PATH
        path.parent.mkdir(exist_ok=True)
        path.write_text(fingerprint, encoding="ascii")
        staging.rename(self.modules)
        return fingerprint

    def _empty_staging_folder(self, name):
        folder = self.target / name
        self._discard(folder)
        folder.mkdir(parents=True)
        return folder

    def _discard(self, folder):
        """Remove a folder, if it exists, so that no part of it is left in its place."""
        if folder.exists():
            discarded = self.target / f"{folder.name}.old"
            shutil.rmtree(discarded, ignore_errors=True)
            folder.rename(discarded)
            shutil.rmtree(discarded)


def _normalize(name):
    return re.sub(r"[-_.]+", "-", name).lower()


def _is_usable(dist):
    """Return whether one of the tags of a wheel fits this interpreter and machine."""
    tags = re.findall(r"^Tag: (\S+)-(\S+)-(\S+)$", dist.read_text("WHEEL") or "", re.M)
    version = "cp{}{}".format(*sys.version_info)
    return any(
        (interpreter in ("py3", version) or abi == "abi3")
        and (platform == "any" or platform.endswith(f"_{os.uname().machine}"))
        for interpreter, abi, platform in tags
    )


def main():
    """Build the checkout, or print its fingerprint; exit with 1 if the build fails."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--fingerprint",
        action="store_true",
        help="print the fingerprint of the sources and build nothing",
    )
    options = parser.parse_args()
    build = Build(pathlib.Path(__file__).resolve().parents[1])
    if options.fingerprint:
        print(build.fingerprint())
        return
    try:
        print(f"built source={build.run()}")
    except (BuildError, OSError) as exc:
        sys.exit(f"hornbeamshore: build failed: {exc}")


if __name__ == "__main__":
    main()
