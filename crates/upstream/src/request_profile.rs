//! Properties of a request that decide which server suits it, taken from its headers.

use fennelgauge_model::stable_hash;

/// Number of tokens from which on a shared prompt prefix is worth sending the request to the server that caches it.
const MIN_SHARED_TOKENS: u64 = 1_000;

/// Number of tokens from which on processing a prompt noticeably delays the other streams of its server.
const MIN_LONG_PROMPT_TOKENS: u64 = 2_000;

/// Kind of a request; servers of a service can be reserved for a kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RequestKind {
    /// An interactive request with a short prompt.
    #[default]
    Short,
    /// A request whose long prompt delays the streams of its server.
    Long,
    /// An item of a batch job, for which no client is waiting.
    BatchItem,
}

/// Properties of a request that decide which server suits it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestProfile {
    /// Hash of the prompt prefix that the request shares with others; `None` if the prefix is too short to be worth
    /// caching.
    pub affinity: Option<u64>,
    /// Number of tokens in the prompt, which a server has to process unless it caches parts of it.
    pub prompt_tokens: u64,
    /// Kind of the request.
    pub kind: RequestKind,
}

impl RequestProfile {
    /// Creates the profile of an interactive request from the value of its prefix header: the parts of the prompt in
    /// order, each as `ID:TOKENS`, separated by commas. The last part is the request's own; the ones before it are
    /// shared with other requests. Malformed parts are skipped.
    pub fn from_prefix_header(value: Option<&str>) -> Self {
        let Some(value) = value else { return Self::default() };
        let parts: Vec<(&str, u64)> = value.split(',').filter_map(parse_part).collect();
        let prompt_tokens = parts.iter().map(|(_, tokens)| tokens).sum();
        let shared = parts.split_last().map_or(&[][..], |(_, shared)| shared);
        let shared_tokens: u64 = shared.iter().map(|(_, tokens)| tokens).sum();
        let affinity = shared.last().filter(|_| shared_tokens >= MIN_SHARED_TOKENS);
        let kind =
            if prompt_tokens >= MIN_LONG_PROMPT_TOKENS { RequestKind::Long } else { RequestKind::Short };
        Self { affinity: affinity.map(|(id, _)| stable_hash(*id)), prompt_tokens, kind }
    }

    /// Like [`RequestProfile::from_prefix_header`], for an item of a batch job.
    pub fn for_batch_item(value: Option<&str>) -> Self {
        Self { kind: RequestKind::BatchItem, ..Self::from_prefix_header(value) }
    }
}

fn parse_part(part: &str) -> Option<(&str, u64)> {
    let (id, tokens) = part.trim().split_once(':')?;
    Some((id, tokens.parse().ok()?))
}
