"""A host that serves requests, assembled from its parts."""

from cornelnotch.node.node import Node, create_node

__all__ = ["Node", "create_node"]
