//! Names of the headers that clients, servers and the platform exchange with the tier.

use awc::http::header::HeaderName;

/// Id of a request: chosen by the client or the tier, repeated by the server in its response.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("x-fennelgauge-request-id");
/// Time that remains for a request, in milliseconds.
pub const DEADLINE: HeaderName = HeaderName::from_static("x-fennelgauge-request-deadline");
/// Instance id of the server that a request is meant for; another instance at the same address rejects it with 421.
pub const TARGET_INSTANCE: HeaderName = HeaderName::from_static("x-fennelgauge-target-instance");
/// Name of the tenant that sent a request.
pub const TENANT: HeaderName = HeaderName::from_static("x-fennelgauge-tenant");
/// Present in a response if the server has not executed the request.
pub const NOT_EXECUTED: HeaderName = HeaderName::from_static("x-fennelgauge-not-executed");
/// Present in each success of a server: clients count none without it.
pub const RESPONSE_SIGNATURE: HeaderName = HeaderName::from_static("x-fennelgauge-response-signature");
/// Load of the server that sends a response, as `running,waiting,slots`.
pub const SERVER_LOAD: HeaderName = HeaderName::from_static("x-fennelgauge-server-load");
/// Parts of a prompt as `ID:TOKENS`, separated by commas; see [`RequestProfile`](crate::RequestProfile).
pub const PREFIX_HASH: HeaderName = HeaderName::from_static("x-fennelgauge-prefix-hash");
/// Longest time for which the response to a poll may be held back, in milliseconds.
pub const POLL_WAIT: HeaderName = HeaderName::from_static("x-fennelgauge-poll-wait");
/// Generation of the configuration that an operator's change is based on.
pub const BASE_VERSION: HeaderName = HeaderName::from_static("x-fennelgauge-base-version");
/// Node that makes a call to the platform as head of the core.
pub const LEASE_HOLDER: HeaderName = HeaderName::from_static("x-fennelgauge-lease-holder");
/// Epoch in which that node is the head; it lets the platform reject calls of an earlier head.
pub const FENCING_TOKEN: HeaderName = HeaderName::from_static("x-fennelgauge-fencing-token");
/// Priority of a request; 0 is the highest.
pub const PRIORITY: HeaderName = HeaderName::from_static("priority");
/// Id of the event after which a stream is to be continued.
pub const LAST_EVENT_ID: HeaderName = HeaderName::from_static("last-event-id");
/// Parameters of a persistent connection, such as `timeout=15`.
pub const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// Returns whether a header applies to a single connection and must not be forwarded.
pub fn is_hop_by_hop(name: &HeaderName) -> bool {
    matches!(
        name.as_str(),
        "connection"
            | "keep-alive"
            | "proxy-connection"
            | "proxy-authenticate"
            | "proxy-authorization"
            | "te"
            | "trailer"
            | "transfer-encoding"
            | "upgrade"
            | "content-length"
            | "expect"
    )
}
