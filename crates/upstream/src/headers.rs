//! Names of the headers that the tier speaks.

use awc::http::header::HeaderName;

pub const REQUEST_ID: HeaderName = HeaderName::from_static("x-fennelgauge-request-id");
pub const DEADLINE: HeaderName = HeaderName::from_static("x-fennelgauge-request-deadline");
pub const TARGET_INSTANCE: HeaderName = HeaderName::from_static("x-fennelgauge-target-instance");
pub const TENANT: HeaderName = HeaderName::from_static("x-fennelgauge-tenant");
pub const NOT_EXECUTED: HeaderName = HeaderName::from_static("x-fennelgauge-not-executed");
pub const SERVER_LOAD: HeaderName = HeaderName::from_static("x-fennelgauge-server-load");
pub const PREFIX_HASH: HeaderName = HeaderName::from_static("x-fennelgauge-prefix-hash");
pub const POLL_WAIT: HeaderName = HeaderName::from_static("x-fennelgauge-poll-wait");
pub const BASE_VERSION: HeaderName = HeaderName::from_static("x-fennelgauge-base-version");
pub const LEASE_HOLDER: HeaderName = HeaderName::from_static("x-fennelgauge-lease-holder");
pub const FENCING_TOKEN: HeaderName = HeaderName::from_static("x-fennelgauge-fencing-token");
pub const PRIORITY: HeaderName = HeaderName::from_static("priority");
pub const LAST_EVENT_ID: HeaderName = HeaderName::from_static("last-event-id");
pub const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// Whether a header concerns one connection only and is not passed on.
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
