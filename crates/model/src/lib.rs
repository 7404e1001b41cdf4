//! What the operator configures and what the platform lists: the configuration document with its checks and patches, the
//! table that finds a request's route and tenant, and the list of servers. Pure.

mod configuration;
mod document;
mod routing;
mod servers;

pub use configuration::{
    Autoscale, Configuration, Engine, Limits, Route, RouteKind, Service, Tenant, WeightedService,
};
pub use document::{apply_patch, Document, DocumentError};
pub use routing::{Access, Denial, RoutingTable};
pub use servers::{Server, ServerList, ServerState};

/// A fixed spreading of a text or bytes over 64 bits, alike in every process and version.
pub fn stable_hash(text: &(impl AsRef<[u8]> + ?Sized)) -> u64 {
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0000_0100_0000_01b3;
    let folded =
        text.as_ref().iter().fold(OFFSET, |hash, byte| (hash ^ u64::from(*byte)).wrapping_mul(PRIME));
    splitmix64(folded)
}

/// A fixed draw between 0 and 1 for a request, so that all its tries are divided alike.
pub fn stable_fraction(id: &str) -> f64 {
    const BITS: u32 = 53;
    (stable_hash(id) >> (u64::BITS - BITS)) as f64 / (1_u64 << BITS) as f64
}

/// Spreads nearby numbers over all 64 bits (the finalizer of splitmix64).
pub fn splitmix64(number: u64) -> u64 {
    let number = number.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let number = (number ^ (number >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let number = (number ^ (number >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    number ^ (number >> 31)
}

#[cfg(test)]
mod tests;
