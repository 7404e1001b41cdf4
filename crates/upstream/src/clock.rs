//! The time of day. It is near true time only, and differs between machines: nothing that must hold may rest on it.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Since the start of 1970 on this machine's clock; nothing before it.
pub fn wall_clock() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}
