"""Typed messages between hosts and the connections that carry them."""

from cornelnotch.wire.codec import FrameReader, decode_message, encode_message
from cornelnotch.wire.peers import PeerNetwork

__all__ = ["FrameReader", "PeerNetwork", "decode_message", "encode_message"]
