"""Tests of the validation of chat requests."""

import json

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from returns.pipeline import is_successful

from mangosaddle._identifiers import RequestId
from mangosaddle.gateway import CallerRequest, Execution
from mangosaddle.gateway._chat_request import parse_chat
from mangosaddle.routing import RequestClass

VALID_BODY = {
    "model": "advisor",
    "messages": [{"role": "user", "content": "How late is the bell?"}],
}


def _request(body: bytes, **headers: str) -> CallerRequest:
    named = {name.replace("_", "-"): value for name, value in headers.items()}
    return CallerRequest("POST", "/v1/chat/completions", "", named, body, RequestId("r1"))


@pytest.mark.parametrize(
    ("body", "places"),
    [
        (b"", {"body"}),
        (b"{", {"body"}),
        (b"[]", {"body"}),
        (b"{}", {"body.model", "body.messages"}),
        (json.dumps({**VALID_BODY, "messages": []}).encode(), {"body.messages"}),
        (
            json.dumps({"model": "", "messages": [{"role": "user"}], "max_tokens": 0}).encode(),
            {"body.model", "body.messages.0.content", "body.max_tokens"},
        ),
        (json.dumps({**VALID_BODY, "max_tokens": 10**9}).encode(), {"body.max_tokens"}),
        (json.dumps({**VALID_BODY, "resume_from": -1}).encode(), {"body.resume_from"}),
    ],
)
def test_invalid_body_reports_all_findings(body: bytes, places: set[str]) -> None:
    """Guards against reporting only the first of several faults in a body."""
    problem = parse_chat(_request(body)).failure()
    assert {finding.place for finding in problem.findings} == places
    assert (problem.status, problem.execution) == (400, Execution.NOT_RUN)


def test_request_class_comes_from_header_or_else_stream_flag() -> None:
    """Guards against handling a patient request as an interactive one."""
    body = json.dumps(VALID_BODY).encode()
    streamed = json.dumps({**VALID_BODY, "stream": True}).encode()
    assert parse_chat(_request(body)).unwrap().request_class is RequestClass.PATIENT
    assert parse_chat(_request(streamed)).unwrap().request_class is RequestClass.INTERACTIVE
    named = parse_chat(_request(streamed, x_request_class="patient")).unwrap()
    assert named.request_class is RequestClass.PATIENT
    assert not is_successful(parse_chat(_request(body, x_request_class="soon")))


@given(st.binary(max_size=200) | st.recursive(st.none() | st.text() | st.integers(), st.lists))
@settings(derandomize=True, deadline=None, max_examples=200)
def test_parser_never_raises(body: object) -> None:
    """Guards against a body that makes the parser raise instead of returning a problem."""
    raw = body if isinstance(body, bytes) else json.dumps(body).encode()
    parse_chat(_request(raw))


@pytest.mark.parametrize(
    ("text", "min_tokens"),
    [("a b c d", 4), ("x" * 300, 100), ("\u12a0\u12f2\u1235", 9), ("", 0)],
)
def test_prompt_tokens_are_not_underestimated(text: str, min_tokens: int) -> None:
    """Guards against reserving less than the cost: three Ethiopic characters may take 9 tokens."""
    body = json.dumps({**VALID_BODY, "messages": [{"role": "user", "content": text}]}).encode()
    assert parse_chat(_request(body)).unwrap().prompt_tokens >= min_tokens
