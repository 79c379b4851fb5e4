"""Run one host with the settings file named by an environment variable."""

import os
import signal
import sys
from pathlib import Path

from cornelnotch.exceptions import CornelnotchError, SettingsError

SETTINGS_FILE_VARIABLE = "CORNELNOTCH_NODE_FILE"
EXIT_BAD_INPUT = 2


def find_settings() -> Path:
    """Return the path of the settings file; raise SettingsError if it is not set."""
    path = os.environ.get(SETTINGS_FILE_VARIABLE)
    if not path:
        raise SettingsError(
            f"{SETTINGS_FILE_VARIABLE} is not set",
            "set it to the path of the settings file",
        )
    return Path(path)


def main() -> None:
    """Run a host; print expected errors as one line that includes the remedy."""
    # Without a handler a SIGHUP would end the process while it imports the rest.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from cornelnotch.platform.program import run_host

    try:
        run_host(find_settings())
    except CornelnotchError as error:
        print(f"cornelnotch: {error}", file=sys.stderr)
        sys.exit(EXIT_BAD_INPUT)


if __name__ == "__main__":
    main()
