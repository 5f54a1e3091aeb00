"""Targets of requests, which tell upstreams what to do."""

from dataclasses import dataclass

from ibisjunction.catalogue.model import RequestKind


@dataclass(frozen=True, slots=True)
class Target:
    """What a request asks of an upstream."""

    kind: RequestKind
    service_ms: int
    answer_bytes: int
    attempt: str

    def __str__(self) -> str:
        """Return the path."""
        return (
            f'/{self.kind.value}/{self.service_ms}/{self.answer_bytes}'
            f'/{self.attempt}'
        )


def parse_target(path: str) -> Target:
    """Parse the path of a request."""
    kind, service_ms, *others = path.removeprefix('/').split('/')
    answer_bytes, attempt = others
    return Target(
        RequestKind(kind), int(service_ms), int(answer_bytes), attempt
    )
