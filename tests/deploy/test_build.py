"""Build command of the deploy file in a small checkout, without a package registry."""

import os
import pathlib
import shutil
import subprocess
import sys
import tomllib

import pytest

from hornbeamshore.base.build_info import read_build_info

ROOT = pathlib.Path(__file__).resolve().parents[2]
HERE = f"cp{sys.version_info.major}{sys.version_info.minor}"
MACHINE = os.uname().machine
BUILT_FOR_HERE = f"{HERE}-{HERE}-manylinux_2_17_{MACHINE}"
# Times of files, in Unix seconds.
BEFORE, AFTER = 1_700_000_000, 1_700_000_100


class Checkout:
    """Checkout with one module, whose constant tells the version that was built."""

    def __init__(self, root):
        self.root = root
        self.deps = root / "target" / "deps"
        self.module = root / "packages/base/src/hornbeamshore/base/version.py"
        shutil.copytree(ROOT / "deploy", root / "deploy")
        for source in (self.module, root / "platform/src/hornbeamshore/platform/a.py"):
            source.parent.mkdir(parents=True)
            source.touch()
        self.require("1.0")

    def require(self, version, changed_at=BEFORE):
        path = self.root / "requirements.txt"
        path.write_text(f"some-package=={version}\n")
        os.utime(path, (changed_at, changed_at))

    def write_version(self, version):
        self.module.write_text(f"VERSION = {version}\n")
        os.utime(self.module, (BEFORE, BEFORE))

    def install_package(self, tag, version="1.0"):
        folder = self.deps / f"some_package-{version}.dist-info"
        folder.mkdir(parents=True)
        metadata = f"Metadata-Version: 2.1\nName: Some.Package\nVersion: {version}\n"
        (folder / "METADATA").write_text(metadata)
        (folder / "WHEEL").write_text(f"Wheel-Version: 1.0\nTag: {tag}\n")
        (self.deps / ".ready").touch()
        os.utime(self.deps / ".ready", (BEFORE + 1, BEFORE + 1))

    def build(self):
        """Run the command of the deploy file; return the exit code."""
        return self._run_build().returncode

    def build_error(self):
        """Run the command of the deploy file; return the last line of its errors."""
        return self._run_build().stderr.decode().splitlines()[-1]

    def _run_build(self):
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        environ = {
            "PATH": f"{pathlib.Path(sys.executable).parent}:{os.environ['PATH']}",
            "HOME": str(self.root),
            "PIP_NO_INDEX": "1",
        }
        return subprocess.run(
            deploy["build"],
            shell=True,
            cwd=self.root,
            env=environ,
            capture_output=True,
        )

    def fingerprint(self):
        """Return the fingerprint that the build script prints for the checkout."""
        command = [sys.executable, "deploy/build.py", "--fingerprint"]
        return subprocess.check_output(command, cwd=self.root, text=True).strip()

    def installed_version(self):
        """Return the version that a process would run, or None if it cannot start."""
        code = "from hornbeamshore.base.version import VERSION; print(VERSION)"
        result = subprocess.run(
            [sys.executable, "-S", "-c", code],
            cwd=self.root,
            env={"PYTHONPATH": str(self.deps)},
            capture_output=True,
        )
        return None if result.returncode else int(result.stdout)


@pytest.fixture
def checkout(tmp_path):
    return Checkout(tmp_path)


@pytest.mark.parametrize(
    ("tag", "required", "changed_at", "installed"),
    [
        pytest.param("py3-none-any", "1.0", AFTER, 2, id="newer checkout"),
        pytest.param(BUILT_FOR_HERE, "1.0", AFTER, 2, id="newer checkout, compiled"),
        pytest.param("cp37-abi3-any", "1.0", AFTER, 2, id="stable interface"),
        pytest.param("py3-none-any", "1.1", AFTER, None, id="another version required"),
        pytest.param("py3-none-any", "1.1", BEFORE, None, id="older requirements"),
        pytest.param(
            f"cp27-cp27-manylinux_2_17_{MACHINE}",
            "1.0",
            BEFORE,
            None,
            id="another interpreter",
        ),
        pytest.param(
            f"{HERE}-{HERE}-manylinux_2_17_other",
            "1.0",
            BEFORE,
            None,
            id="another kind of machine",
        ),
    ],
)
def test_build_over_an_older_one_installs_new_code_or_none(
    checkout, tag, required, changed_at, installed
):
    """Guards against older code that is started after a build has failed."""
    checkout.write_version(1)
    checkout.install_package("py3-none-any")
    assert checkout.build() == 0
    shutil.rmtree(checkout.deps / "some_package-1.0.dist-info")
    checkout.install_package(tag)
    checkout.write_version(2)
    checkout.require(required, changed_at)
    assert (checkout.build() == 0) == (installed is not None)
    assert checkout.installed_version() == installed


@pytest.mark.parametrize("missing", [".ready", "METADATA", "WHEEL"])
def test_interrupted_package_step_is_repeated(checkout, missing):
    """Guards against packages of which only a part is installed."""
    checkout.install_package("py3-none-any")
    (path,) = checkout.deps.rglob(missing)
    path.unlink()
    assert "pip ended with code" in checkout.build_error()


def test_second_build_in_one_second_replaces_the_first(checkout):
    """Guards against bytecode of older sources that have the same time and size."""
    checkout.install_package("py3-none-any")
    for version in (1, 2):
        checkout.write_version(version)
        assert checkout.build() == 0
        assert checkout.installed_version() == version
        cache = checkout.deps / "hornbeamshore/base/__pycache__"
        shutil.copytree(cache, checkout.module.parent / "__pycache__")
        checkout.write_version(version + 1)
        assert checkout.build() == 0
        assert checkout.installed_version() == version + 1
        shutil.rmtree(checkout.module.parent / "__pycache__")


def test_module_that_does_not_compile_fails_the_build(checkout):
    """Guards against an older version, or a part of the new one, that is started."""
    checkout.install_package("py3-none-any")
    checkout.write_version(1)
    assert checkout.build() == 0
    checkout.write_version("(")
    assert checkout.build() != 0
    assert not (checkout.deps / "hornbeamshore").exists()


def test_fingerprint_tells_the_sources_of_a_build(checkout):
    """Guards against a log line that names other sources than the process runs."""
    checkout.install_package("py3-none-any")
    fingerprints = set()
    for version in (1, 2):
        checkout.write_version(version)
        assert checkout.build() == 0
        path = checkout.deps / "hornbeamshore/base/source_fingerprint"
        assert read_build_info(path).source == checkout.fingerprint()
        fingerprints.add(checkout.fingerprint())
    assert len(fingerprints) == 2
