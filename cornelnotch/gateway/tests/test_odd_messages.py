"""Test that valid messages with odd values do not stop a host's work."""

import asyncio
import dataclasses
import random
import types
import typing

import pytest

from cornelnotch.gateway.tests.conftest import run_deployment, wait_until
from cornelnotch.gateway.tests.test_odd_records import assert_list_is_followed
from cornelnotch.web import parse_address
from cornelnotch.wire import decode_message, encode_message
from cornelnotch.wire.messages import Hello, list_message_types

RANDOM_SEED = 20261206
MESSAGES_PER_TYPE = 40
INTEGERS = [-(2**63), -1, 0, 1, 7, 2**31, 2**53, 2**63 - 1, 2**63, 2**64 - 1]
FLOATS = [float("nan"), float("inf"), float("-inf"), -1.0, 0.0, 1e-320, 1e308, 5.0]
TEXTS = ["", "ghost", "ghost:65536", "127.0.0.1:1", "\u6771", "x" * 5000, "\x00"]


def create_value(kind, generator):
    """Return an odd value of a type as it is annotated in a message."""
    origin = typing.get_origin(kind)
    arguments = typing.get_args(kind)
    if origin is list:
        size = generator.choice([0, 1, 3])
        return [create_value(arguments[0], generator) for _ in range(size)]
    if origin is typing.Literal:
        return generator.choice(arguments)
    if origin in {typing.Union, types.UnionType}:
        return create_value(generator.choice(arguments), generator)
    if isinstance(kind, type) and dataclasses.is_dataclass(kind):
        hints = typing.get_type_hints(kind)
        names = [field.name for field in dataclasses.fields(kind)]
        return kind(*[create_value(hints[name], generator) for name in names])
    choices: dict[type, list[typing.Any]]
    choices = {int: INTEGERS, float: FLOATS, str: TEXTS, bool: [True, False]}
    choices |= {bytes: [b"", b"\xff" * 9], types.NoneType: [None]}
    return generator.choice(choices[kind])


@pytest.mark.parametrize("kind", list_message_types()[1:])
def test_odd_messages_do_not_stop_a_host(kind):
    async def run():
        generator = random.Random(f"{RANDOM_SEED}/{kind.__name__}")
        async with run_deployment() as deployment:
            peers = deployment.host.peers
            reader, writer = await asyncio.open_connection(
                *parse_address(deployment.settings.listen.peers)
            )
            writer.write(encode_message(Hello("ghost", 1)))
            before = peers.received_messages
            for _ in range(MESSAGES_PER_TYPE):
                data = encode_message(create_value(kind, generator))
                decode_message(data[4:])
                writer.write(data)
            await wait_until(
                lambda: peers.received_messages > before + MESSAGES_PER_TYPE
            )
            await assert_list_is_followed(deployment)
            assert not writer.is_closing()
            writer.transport.abort()

    asyncio.run(run())
