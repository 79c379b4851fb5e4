"""Settings of the programs, read from INI files and validated."""

from cornelnotch.settings.ini import read_ini
from cornelnotch.settings.node import NodeSettings, read_node_settings

__all__ = ["NodeSettings", "read_ini", "read_node_settings"]
