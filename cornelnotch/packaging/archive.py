"""Make an archive built by shiv read its unpack directory from the settings.

Run with ``python -m cornelnotch.packaging.archive FILE``.
"""

import sys
import zipfile
from pathlib import Path

from cornelnotch.packaging import unpacking

__all__ = ["rewrite_archive"]

SHEBANG = b"#!/usr/bin/env python3\n"
EXECUTABLE_MODE = 0o755
ENTRY_POINT_NAME = "__main__.py"
MODULE_NAME = "_unpacking.py"
ENTRY_POINT = """import os
import sys

from _unpacking import choose_folder

os.environ["SHIV_ROOT"] = choose_folder(sys.argv[1:])

from _bootstrap import bootstrap

bootstrap()
"""


def rewrite_archive(path: Path) -> None:
    """Replace the entry point of the archive at `path`."""
    target = path.with_suffix(".new")
    with zipfile.ZipFile(path) as old, target.open("wb") as file:
        file.write(SHEBANG)
        with zipfile.ZipFile(file, "w", zipfile.ZIP_DEFLATED) as new:
            for entry in old.infolist():
                if entry.filename != ENTRY_POINT_NAME:
                    new.writestr(entry, old.read(entry))
            module = Path(unpacking.__file__).read_text(encoding="utf-8")
            new.writestr(MODULE_NAME, module)
            new.writestr(ENTRY_POINT_NAME, ENTRY_POINT)
    target.chmod(EXECUTABLE_MODE)
    target.replace(path)


if __name__ == "__main__":
    rewrite_archive(Path(sys.argv[1]))
