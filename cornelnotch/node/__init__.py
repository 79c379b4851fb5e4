"""Assemble the tasks of one host."""

from cornelnotch.node.node import Node, create_node

__all__ = ["Node", "create_node"]
