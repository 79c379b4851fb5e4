"""Selection of the directory that the single-file executable unpacks to.

This module runs from the archive before anything is unpacked, so it imports
only the standard library.
"""

import configparser
import os

__all__ = ["choose_folder"]

DEFAULT_FOLDER = "/tmp/cornelnotch"
HOME_VARIABLE = "CORNELNOTCH_HOME"


def choose_folder(arguments: list[str]) -> str:
    """Return the directory to unpack to.

    It is `[node] unpack` of the settings file in `arguments`, else CORNELNOTCH_HOME
    from the environment, else the default.
    """
    if len(arguments) == 2 and arguments[0] == "node":
        parser = configparser.ConfigParser(interpolation=None)
        try:
            parser.read(arguments[1], encoding="utf-8")
            folder = parser.get("node", "unpack", fallback="")
        except (configparser.Error, UnicodeDecodeError):
            # Ignored here: the program reports errors in the file after unpacking.
            folder = ""
        if folder:
            return folder
    return os.environ.get(HOME_VARIABLE, DEFAULT_FOLDER)
