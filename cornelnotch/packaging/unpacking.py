"""Choose the folder that the one-file program unpacks to.

This module runs from the archive before anything is unpacked, so it imports
only the standard library.
"""

import configparser
import os

__all__ = ["choose_folder"]

DEFAULT_FOLDER = "/tmp/cornelnotch"
HOME_VARIABLE = "CORNELNOTCH_HOME"


def choose_folder(arguments: list[str]) -> str:
    """Return `[node] unpack` of the settings named, the variable or the default."""
    if len(arguments) == 2 and arguments[0] == "node":
        parser = configparser.ConfigParser(interpolation=None)
        try:
            parser.read(arguments[1], encoding="utf-8")
            folder = parser.get("node", "unpack", fallback="")
        except (configparser.Error, UnicodeDecodeError):
            # The program itself reports what is wrong with the file.
            folder = ""
        if folder:
            return folder
    return os.environ.get(HOME_VARIABLE, DEFAULT_FOLDER)
