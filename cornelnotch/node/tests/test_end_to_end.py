"""Test requests end to end with separate processes."""

from cornelnotch.kernel import create_identifier
from cornelnotch.node.tests.conftest import start_sample_fleet
from cornelnotch.standins.engine import create_expected_response


def test_chat_and_booking_get_complete_responses(run_fleet):
    async def scenario(fleet):
        await start_sample_fleet(fleet)
        caller = fleet.create_caller()
        assert len(await caller.fetch_entry_addresses()) == 3
        for stream in (True, False):
            result = await caller.chat("resole brown boots", 12, "kind=quote", stream)
            assert (result.status, result.complete) == (200, True)
            assert result.text == create_expected_response("resole brown boots", 12)
        key = create_identifier()
        content = {"reference": "slot-7"}
        first = await caller.call("counter-desk", "/book", content, "kind=booking", key)
        assert (first.status, first.outcome) == (200, "ran")
        repeated = await caller.call(
            "counter-desk", "/book", content, "kind=booking", key
        )
        assert repeated.body == first.body
        assert await fleet.read_ledger("desk-0") == {"slot-7": 1}

    run_fleet(scenario)


def test_explain_names_selector_server_and_outcome(run_fleet):
    async def scenario(fleet):
        await start_sample_fleet(fleet, hosts=2, engines=1)
        caller = fleet.create_caller()
        result = await caller.chat("draft", 4, "kind=draft")
        trace = await fleet.explain(result.request_id)
        stages = {d["stage"]: d["details"] for d in trace["decisions"]}
        assert stages["classified"]["selector"] == "drafts"
        assert stages["permit"]["server"] == "engine-0"
        assert stages["answered"]["tokens"] == 4

    run_fleet(scenario)
