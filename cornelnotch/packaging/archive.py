"""Let an archive built by shiv choose its folder from the settings.

Run with ``python -m cornelnotch.packaging.archive FILE``.
"""

import sys
import zipfile
from pathlib import Path

from cornelnotch.packaging import unpacking

__all__ = ["rewrite_archive"]

SHEBANG = b"#!/usr/bin/env python3\n"
EXECUTABLE = 0o755
ENTRY_NAME = "__main__.py"
MODULE_NAME = "_unpacking.py"
ENTRY = """import os
import sys

from _unpacking import choose_folder

os.environ["SHIV_ROOT"] = choose_folder(sys.argv[1:])

from _bootstrap import bootstrap

bootstrap()
"""


def rewrite_archive(path: Path) -> None:
    """Replace the entry of the archive at `path`."""
    target = path.with_suffix(".new")
    with zipfile.ZipFile(path) as old, target.open("wb") as file:
        file.write(SHEBANG)
        with zipfile.ZipFile(file, "w", zipfile.ZIP_DEFLATED) as new:
            for entry in old.infolist():
                if entry.filename != ENTRY_NAME:
                    new.writestr(entry, old.read(entry))
            module = Path(unpacking.__file__).read_text(encoding="utf-8")
            new.writestr(MODULE_NAME, module)
            new.writestr(ENTRY_NAME, ENTRY)
    target.chmod(EXECUTABLE)
    target.replace(path)


if __name__ == "__main__":
    rewrite_archive(Path(sys.argv[1]))
