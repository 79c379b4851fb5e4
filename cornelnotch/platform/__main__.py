"""Start a host the way the platform does: settings by an environment variable."""

import os
import sys
from pathlib import Path

from cornelnotch.exceptions import CornelnotchError, SettingsError
from cornelnotch.platform.program import run_host

SETTINGS_VARIABLE = "CORNELNOTCH_NODE_FILE"
EXIT_BAD_INPUT = 2


def find_settings() -> Path:
    """Return the path of the settings file."""
    path = os.environ.get(SETTINGS_VARIABLE)
    if not path:
        raise SettingsError(
            f"{SETTINGS_VARIABLE} is not set", "set it to the path of the settings"
        )
    return Path(path)


def main() -> None:
    """Run a host; errors end with one line that names the remedy."""
    try:
        run_host(find_settings())
    except CornelnotchError as error:
        print(f"cornelnotch: {error}", file=sys.stderr)
        sys.exit(EXIT_BAD_INPUT)


if __name__ == "__main__":
    main()
