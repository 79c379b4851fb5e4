"""Test what is counted of the requests of callers."""

from cornelnotch.gateway.models import CallerRequest, PromptPart
from cornelnotch.scaling.counter import DemandCounter


def create_request(*parts, output_tokens=0):
    prompt = tuple(PromptPart(name, tokens) for name, tokens in parts)
    return CallerRequest(
        "r",
        "POST",
        "/",
        "app.example",
        "/",
        [],
        prompt=prompt,
        prompt_tokens=sum(tokens for _, tokens in parts),
        output_tokens=output_tokens,
    )


def take_rows(counter):
    return {
        (row.service, row.priority): row
        for row in counter.take_totals("h1", 7, "a1").rows
    }


def test_requests_are_told_apart_by_service_and_priority():
    counter = DemandCounter()
    counter.record_arrival("llm", 1, create_request(("own", 50), output_tokens=9))
    counter.record_arrival("llm", 1, create_request(("own", 50), output_tokens=9))
    counter.record_arrival("llm", 4, create_request(("own", 70)))
    rows = take_rows(counter)
    assert rows["llm", 1].requests == 2
    assert rows["llm", 1].prompt_tokens == 100
    assert rows["llm", 1].output_tokens == 18
    assert rows["llm", 4].prompt_tokens == 70


def test_refused_requests_count_as_demand():
    # Demand that counted only what is served could not exceed what servers can do.
    counter = DemandCounter()
    for _ in range(3):
        counter.record_arrival("llm", 1, create_request(("own", 10)))
    counter.record_refusal("llm", 1)
    counter.record_served("llm", 1, 400.0)
    counter.record_served("llm", 1, 600.0)
    row = take_rows(counter)["llm", 1]
    assert (row.requests, row.refused) == (3, 1)
    assert (row.served, row.served_ms) == (2, 1000.0)


def test_tokens_that_servers_cache_need_no_prefill():
    # Servers cached nine tenths of the last prompts, so of those to come too.
    counter = DemandCounter()
    for _ in range(300):
        counter.record_prefill("llm", 1000, 100)
    counter.record_arrival("llm", 1, create_request(("own", 5000)))
    row = take_rows(counter)["llm", 1]
    assert row.prompt_tokens == 5000
    assert row.prefill_tokens == 500


def test_lost_caches_raise_the_tokens_to_prefill():
    counter = DemandCounter()
    for _ in range(300):
        counter.record_prefill("llm", 1000, 100)
    for _ in range(50):
        counter.record_prefill("llm", 1000, 1000)
    counter.record_arrival("llm", 1, create_request(("own", 5000)))
    assert take_rows(counter)["llm", 1].prefill_tokens > 3500


def test_before_any_prompt_has_run_all_tokens_are_new():
    counter = DemandCounter()
    counter.record_prefill("other", 1000, 100)
    counter.record_prefill("llm", 0, 7)
    counter.record_arrival("llm", 1, create_request(("own", 5000)))
    assert take_rows(counter)["llm", 1].prefill_tokens == 5000


def test_each_report_has_a_higher_sequence():
    counter = DemandCounter()
    sequences = [counter.take_totals("h1", 7, "a1").sequence for _ in range(3)]
    assert sequences == sorted(set(sequences))
