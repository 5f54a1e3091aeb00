"""A small HTTP client for callers and operators of a local deployment."""

import json
from dataclasses import dataclass
from typing import Any, Final

from tornado.httpclient import (
    AsyncHTTPClient,
    HTTPClientError,
    HTTPRequest,
    HTTPResponse,
)

from ibisjunction.bench.deployment import OPERATOR_TOKEN

_MAX_ANSWER_BYTES: Final = 1024**3
_TIMEOUT_S: Final = 30.0
#: Status for a request without an answer; tornado uses the same number.
NO_ANSWER: Final = 599


@dataclass(frozen=True, slots=True)
class Answer:
    """An HTTP answer; the status is ``NO_ANSWER`` if none arrived."""

    status: int
    headers: dict[str, str]
    body: bytes


def make_client() -> AsyncHTTPClient:
    """Return a client that accepts many large answers at a time."""
    return AsyncHTTPClient(
        force_instance=True,
        max_clients=1000,
        max_body_size=_MAX_ANSWER_BYTES,
    )


async def call(
    client: AsyncHTTPClient,
    method: str,
    url: str,
    body: bytes | None = None,
    headers: dict[str, str] | None = None,
) -> Answer:
    """Send one request and return its answer, whatever its status."""
    request = HTTPRequest(
        url,
        method=method,
        body=body,
        headers=headers or {},
        request_timeout=_TIMEOUT_S,
        allow_nonstandard_methods=True,
    )
    try:
        response = await client.fetch(request, raise_error=False)
    except (HTTPClientError, OSError) as error:
        return Answer(NO_ANSWER, {}, str(error).encode())
    return _to_answer(response)


async def call_admin(
    client: AsyncHTTPClient,
    method: str,
    address: str,
    path: str,
    body: object = None,
) -> Answer:
    """Call the administration API as an operator."""
    return await call(
        client,
        method,
        f'http://{address}{path}',
        None if body is None else json.dumps(body).encode(),
        {'Authorization': f'Bearer {OPERATOR_TOKEN}'},
    )


def decode_body(answer: Answer) -> Any:
    """Decode the JSON body of an answer."""
    return json.loads(answer.body)


def _to_answer(response: HTTPResponse) -> Answer:
    return Answer(
        response.code,
        dict(response.headers.get_all()),
        response.body or b'',
    )
