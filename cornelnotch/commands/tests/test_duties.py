"""Test the command that shows the holder of the duties."""

import asyncio
import sys

from cornelnotch.standins.store import StoreStandin

CLAIM = b'{"host":"host-4","boot_ms":5,"token":4294967299,"timeline":1}'
RELEASE = b'{"host":"","boot_ms":5,"token":4294967299,"timeline":1}'
WINDOW = b'{"window":353,"counts":{"acme":12,"beta":30},"timeline":1}'


async def show_duties(address):
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "cornelnotch",
        "duties",
        "show",
        "--store",
        address,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
    )
    output, errors = await process.communicate()
    return process.returncode, output.decode(), errors.decode()


def test_the_holder_and_the_last_windows_are_shown():
    async def scenario():
        store = StoreStandin()
        await store.start()
        topic = store.topics["keyed.duties"]
        try:
            code, output, _ = await show_duties(store.address)
            assert code == 0
            assert "no host has claimed" in output
            topic.write("holder", CLAIM)
            topic.write("window/1", WINDOW)
            topic.write("window/2", b"odd")
            code, output, _ = await show_duties(store.address)
            assert code == 0
            assert "holder host-4, token 4294967299" in output
            assert "353" in output
            assert "42" in output
            assert "1 malformed records" in output
            topic.write("holder", RELEASE)
            assert "released" in (await show_duties(store.address))[1]
            store.timeline = "2"
            topic.write("holder", CLAIM)
            assert "ended with timeline 1" in (await show_duties(store.address))[1]
        finally:
            await store.stop()

    asyncio.run(scenario())


def test_a_store_that_does_not_respond_is_one_line():
    code, _, errors = asyncio.run(show_duties("127.0.0.1:1"))
    assert code == 2
    assert errors.count("\n") == 1
