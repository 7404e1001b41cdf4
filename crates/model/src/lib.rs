//! Data model of the serving tier: the operator's configuration document with its validation and patches, the routing table
//! that resolves a request to a route and a tenant, and the platform's server list. This crate does no I/O.

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

/// Returns a 64-bit hash (FNV-1a, then [`splitmix64`]) that is the same in every process and every version of the software.
pub fn stable_hash(bytes: &(impl AsRef<[u8]> + ?Sized)) -> u64 {
    const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;
    let fnv1a = bytes
        .as_ref()
        .iter()
        .fold(FNV_OFFSET_BASIS, |hash, byte| (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME));
    splitmix64(fnv1a)
}

/// Maps a request id to a fraction in `[0, 1)`. It depends on the id only, so every attempt of a request makes the same choice
/// between the weighted services of a route.
pub fn stable_fraction(id: &str) -> f64 {
    const MANTISSA_BITS: u32 = 53;
    (stable_hash(id) >> (u64::BITS - MANTISSA_BITS)) as f64 / (1_u64 << MANTISSA_BITS) as f64
}

/// Applies one step of the SplitMix64 generator, which spreads nearby numbers over all 64 bits.
pub fn splitmix64(number: u64) -> u64 {
    let number = number.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let number = (number ^ (number >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let number = (number ^ (number >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    number ^ (number >> 31)
}

#[cfg(test)]
mod tests;
