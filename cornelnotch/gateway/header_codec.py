"""Interface for the headers of callers and servers, independent of their names."""

from abc import ABC, abstractmethod
from dataclasses import dataclass

from cornelnotch.gateway.models import CallerRequest, Headers
from cornelnotch.pressure.models import ServerLoad

__all__ = ["DispatchOptions", "HeaderCodec", "PeerOptions", "ResponseHead"]


@dataclass(frozen=True, slots=True)
class DispatchOptions:
    """Parameters of one dispatch that the server gets besides the caller's request.

    `cache_source` is the address of a server to fetch cached prompt parts from. The
    KV cache of the run is copied to the server at `backup_address`; `kv_copy` names
    the copy from which the run of this request resumes.
    """

    server: str
    remaining_ms: float
    workspace: str
    priority: int | None
    last_event_id: str = ""
    cache_source: str = ""
    backup_address: str = ""
    kv_copy: str = ""


@dataclass(frozen=True, slots=True)
class PeerOptions:
    """Parameters of a request that `host` passes on to another host.

    It may be sent to `attempts` servers, and by no older configuration than `version`.
    A stream goes on after `last_event_id`.
    """

    host: str
    remaining_ms: float
    attempts: int
    version: int
    last_event_id: str = ""


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """Parsed head of a server's response.

    `request_id` is empty if the server sent none. With `not_run` the server states
    that the work did not run and never will, with `leaving` that it accepts no new
    work, and with `backoff_ms` for how long this host should send it none.
    `malformed_backoff` is the text that the server sent in place of a valid duration.

    `is_event_stream` is unset if the server names another type of body.

    `rate_limit` is the number of requests per second that the server accepts from all
    hosts together, or None if it states none. `rate_limit_text` is the text it sent,
    and `rate_limit_malformed` is set if that is not a valid number.

    `rejections_borne` is the number of requests per second that a brittle server can
    reject without falling over, None if it is not brittle; `brittle_text` and
    `brittle_malformed` are as for the rate limit.

    `load` is the load that the server states, None if it states none or if that is
    malformed; `load_malformed` and `load_text` are as for the rate limit.
    `load_states_pace` is set if it also states how fast its machine works.
    """

    status: int
    request_id: str
    signed: bool
    not_run: bool
    other_server: bool
    headers: Headers
    leaving: bool = False
    backoff_ms: float = 0.0
    malformed_backoff: str = ""
    rate_limit: float | None = None
    rate_limit_malformed: bool = False
    rate_limit_text: str = ""
    is_event_stream: bool = True
    rejections_borne: float | None = None
    brittle_malformed: bool = False
    brittle_text: str = ""
    load: ServerLoad | None = None
    load_malformed: bool = False
    load_text: str = ""
    load_states_pace: bool = False


class HeaderCodec(ABC):
    """Translate message heads between callers, the gateway and servers."""

    @abstractmethod
    def read_request(self, method: str, target: str, headers: Headers) -> CallerRequest:
        """Return the caller's request; raise RequestError if it is malformed."""

    @abstractmethod
    def create_dispatch_headers(
        self, request: CallerRequest, options: DispatchOptions
    ) -> Headers:
        """Return the headers of one dispatch, without the content length."""

    @abstractmethod
    def create_peer_headers(
        self, request: CallerRequest, options: PeerOptions
    ) -> Headers:
        """Return the headers for another host, without the content length."""

    @abstractmethod
    def read_response(self, status: int, headers: Headers) -> ResponseHead:
        """Parse the head of a server's response."""

    @abstractmethod
    def create_refusal_headers(
        self, request: CallerRequest | None, retry_after_ms: float | None
    ) -> Headers:
        """Return the headers of a refusal by the gateway itself."""
