//! What a request asks of a server, as far as its headers tell.

use fennelgauge_model::stable_hash;

/// A shared part of a prompt is worth going to the server that has it from so many tokens on.
const WORTH_KEEPING_TOKENS: u64 = 1_000;

/// From so many tokens on, the reading of a prompt holds up the other streams of its server.
const LONG_PROMPT_TOKENS: u64 = 2_000;

/// Which servers of a service a request is for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RequestKind {
    /// An interactive request with a short prompt.
    #[default]
    Short,
    /// A request whose long prompt holds up the streams of its server.
    Long,
    /// An item of a batch job: short, but nobody waits for it.
    BatchItem,
}

/// What the choice of a server goes by.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestProfile {
    /// Alike for requests that share a part of their prompt that is worth keeping.
    pub affinity: Option<u64>,
    /// Tokens of the prompt that a server without any of its parts reads.
    pub prompt_tokens: u64,
    pub kind: RequestKind,
}

impl RequestProfile {
    /// From the parts of a prompt, `ID:TOKENS` in order and separated by commas; the last is the request's own.
    pub fn from_prefix_header(parts: Option<&str>) -> Self {
        let Some(parts) = parts else { return Self::default() };
        let parts: Vec<(&str, u64)> = parts.split(',').filter_map(part).collect();
        let prompt_tokens = parts.iter().map(|(_, tokens)| tokens).sum();
        let shared = parts.split_last().map_or(&[][..], |(_, shared)| shared);
        let shared_tokens: u64 = shared.iter().map(|(_, tokens)| tokens).sum();
        let affinity = shared.last().filter(|_| shared_tokens >= WORTH_KEEPING_TOKENS);
        let kind = if prompt_tokens >= LONG_PROMPT_TOKENS { RequestKind::Long } else { RequestKind::Short };
        Self { affinity: affinity.map(|(id, _)| stable_hash(*id)), prompt_tokens, kind }
    }

    /// The same, for an item of a batch job.
    pub fn for_batch_item(parts: Option<&str>) -> Self {
        Self { kind: RequestKind::BatchItem, ..Self::from_prefix_header(parts) }
    }
}

fn part(part: &str) -> Option<(&str, u64)> {
    let (id, tokens) = part.trim().split_once(':')?;
    Some((id, tokens.parse().ok()?))
}
