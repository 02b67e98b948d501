"""Validation of chat requests, and the values that admission and routing need."""

import hashlib
import json
import math
import secrets
from dataclasses import dataclass
from typing import Any

from pydantic import BaseModel, ConfigDict, Field, ValidationError
from returns.result import Failure, Result, Success

from .._identifiers import ModelName, RequestId, VersionId
from .._problems import Problem, RequestFinding
from ..routing import RequestClass
from ._messages import CallerRequest

DEFAULT_OUTPUT_TOKENS = 256
MAX_OUTPUT_TOKENS = 32_768
ASCII_BYTES_PER_TOKEN = 3
MESSAGE_OVERHEAD_TOKENS = 4
PREFIX_BLOCK_BYTES = 512
MAX_PREFIX_BLOCKS = 8
RUN_ID_BYTES = 8


ALLOWED_REQUEST_CLASSES = (RequestClass.INTERACTIVE, RequestClass.PATIENT)


class MessageDocument(BaseModel):
    """One message of a conversation."""

    model_config = ConfigDict(extra="allow")

    role: str = Field(min_length=1, max_length=32)
    content: str


class ChatDocument(BaseModel):
    """Body of ``POST /v1/chat/completions``; unknown fields pass through to the engine."""

    model_config = ConfigDict(extra="allow")

    model: str = Field(min_length=1, max_length=128)
    messages: list[MessageDocument] = Field(min_length=1, max_length=4096)
    stream: bool = False
    max_tokens: int = Field(default=DEFAULT_OUTPUT_TOKENS, ge=1, le=MAX_OUTPUT_TOKENS)
    resume_from: int = Field(default=0, ge=0)
    resume_version: str | None = Field(default=None, max_length=128)


@dataclass(frozen=True, slots=True)
class ChatRequest:
    """A valid chat request."""

    request_id: RequestId
    run_id: RequestId
    """Unique id for endpoints, the queue and the key ring. Callers choose the request id, so two
    requests may share it; cancelling one must not affect the other."""
    model: ModelName
    request_class: RequestClass
    wants_stream: bool
    payload: dict[str, Any]
    """Body for the engine, without the version of the model."""
    prompt_tokens: int
    """Estimated length of the prompt."""
    output_tokens: int
    """Upper bound of the length of the answer."""
    resume_from: int
    """Number of token events that the caller has already received."""
    resume_version: VersionId | None
    """Version that produced these tokens; only the same version can continue an answer."""
    prefix_digests: tuple[bytes, ...]
    """Digests of growing prefixes of the prompt, shortest first."""
    body_digest: bytes
    """Digest of the model and the messages, which repeated requests share."""

    @property
    def max_cost_tokens(self) -> int:
        """Upper bound of the cost of the request in tokens."""
        return self.prompt_tokens + max(0, self.output_tokens - self.resume_from)


def parse_chat(request: CallerRequest) -> Result[ChatRequest, Problem]:
    """Validate a chat request; a failure holds all findings."""
    try:
        document = ChatDocument.model_validate_json(request.body)
    except ValidationError as error:
        return Failure(_validation_problem(error))
    class_name = request.header("x-request-class")
    if class_name is not None and class_name not in ALLOWED_REQUEST_CLASSES:
        finding = RequestFinding(
            "header X-Request-Class", "unknown class", "use one of interactive, patient"
        )
        return Failure(_malformed((finding,)))
    default = RequestClass.INTERACTIVE if document.stream else RequestClass.PATIENT
    request_class = RequestClass(class_name) if class_name else default
    return Success(_chat_request(request.request_id, document, request_class))


def _chat_request(
    request_id: RequestId, document: ChatDocument, request_class: RequestClass
) -> ChatRequest:
    payload = document.model_dump(mode="json", exclude={"resume_version"})
    payload["stream"] = True
    payload.setdefault("stream_options", {"include_usage": True})
    text = "\x1e".join(f"{m.role}\x1f{m.content}" for m in document.messages).encode()
    return ChatRequest(
        request_id=request_id,
        run_id=new_run_id(request_id),
        model=ModelName(document.model),
        request_class=request_class,
        wants_stream=document.stream,
        payload=payload,
        prompt_tokens=_estimate_tokens(document.messages),
        output_tokens=document.max_tokens,
        resume_from=document.resume_from,
        resume_version=_version_of(document.resume_version),
        prefix_digests=_prefix_digests(text),
        body_digest=hashlib.sha256(document.model.encode() + b"\x1d" + text).digest(),
    )


def new_run_id(request_id: RequestId) -> RequestId:
    """Return a unique id that starts with the id that the caller chose."""
    return RequestId(f"{request_id}.{secrets.token_hex(RUN_ID_BYTES)}")


def _version_of(name: str | None) -> VersionId | None:
    """Return the version in a model name such as ``advisor@v1``, as engines state it."""
    return VersionId(name.rpartition("@")[2]) if name else None


def _estimate_tokens(messages: list[MessageDocument]) -> int:
    return sum(MESSAGE_OVERHEAD_TOKENS + _estimate_text_tokens(m.content) for m in messages)


def _estimate_text_tokens(text: str) -> int:
    """Estimate the number of tokens of a text, rather too high than too low.

    The surplus is refunded when the engine reports its count. Tokenizers produce one token per
    about four ASCII bytes. Scripts such as Ethiopic may take one token per byte of a character.
    """
    size_bytes = len(text.encode())
    ascii_bytes = sum(character < "\x80" for character in text)
    estimate = math.ceil(ascii_bytes / ASCII_BYTES_PER_TOKEN) + size_bytes - ascii_bytes
    return max(len(text.split()), estimate)


def _prefix_digests(text: bytes) -> tuple[bytes, ...]:
    state = hashlib.blake2b(digest_size=8)
    digests = []
    for start in range(
        0, min(len(text), MAX_PREFIX_BLOCKS * PREFIX_BLOCK_BYTES), PREFIX_BLOCK_BYTES
    ):
        state.update(text[start : start + PREFIX_BLOCK_BYTES])
        digests.append(state.copy().digest())
    return tuple(digests)


def _validation_problem(error: ValidationError) -> Problem:
    findings = tuple(
        RequestFinding(
            place="body" + "".join(f".{part}" for part in entry["loc"]),
            message=entry["msg"],
            remedy="see POST /v1/chat/completions in the README",
        )
        for entry in error.errors(include_url=False, include_input=False)
    )
    return _malformed(findings)


def _malformed(findings: tuple[RequestFinding, ...]) -> Problem:
    return Problem(400, "malformed-request", f"{len(findings)} findings", findings=findings)


def engine_payload(chat: ChatRequest, version: str, resume_from: int) -> dict[str, Any]:
    """Return the body for an engine, with the model's version and the offset to resume from."""
    return {**chat.payload, "model": f"{chat.model}@{version}", "resume_from": resume_from}


def encode_payload(payload: dict[str, Any]) -> bytes:
    """Return a payload as compact JSON, for forwarding it to another VM."""
    return json.dumps(payload, separators=(",", ":")).encode()
