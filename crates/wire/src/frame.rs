//! Frame format: body length (u32, little-endian), CRC-32 of the body (u32, little-endian), then the body, one message in
//! bincode.

use fennelgauge_encoding::{decode, encode, DecodeError};
use serde::de::DeserializeOwned;
use serde::Serialize;
use tokio::io::{AsyncRead, AsyncReadExt};

const HEADER_BYTES: usize = 8;
/// Largest accepted body. A longer announced length means that the peer does not speak this protocol.
const MAX_BODY_BYTES: usize = 96 << 20;

/// Why no message could be read from a connection. The connection is unusable afterwards and has to be closed.
#[derive(Debug, thiserror::Error)]
pub enum FrameError {
    /// The connection failed or was closed, possibly in the middle of a frame.
    #[error("connection lost: {0}")]
    ConnectionLost(#[from] std::io::Error),
    /// The announced body length, in bytes, exceeds the limit.
    #[error("frame of {0} bytes exceeds the limit of {MAX_BODY_BYTES} bytes: the peer does not speak this protocol")]
    TooLarge(usize),
    /// The body does not match its checksum.
    #[error("frame checksum mismatch: closing the connection")]
    ChecksumMismatch,
    /// The body is not a message that this version knows.
    #[error("frame body could not be decoded: {0}")]
    Decode(#[from] DecodeError),
}

/// Encodes a message as one frame.
pub(crate) fn encode_frame<M: Serialize>(message: &M) -> Vec<u8> {
    let body = encode(message);
    let mut frame = Vec::with_capacity(HEADER_BYTES + body.len());
    frame.extend_from_slice(&(body.len() as u32).to_le_bytes());
    frame.extend_from_slice(&crc32fast::hash(&body).to_le_bytes());
    frame.extend_from_slice(&body);
    frame
}

/// Reads one frame and decodes its message.
pub(crate) async fn read_frame<M: DeserializeOwned>(
    stream: &mut (impl AsyncRead + Unpin),
) -> Result<M, FrameError> {
    let length = stream.read_u32_le().await? as usize;
    let checksum = stream.read_u32_le().await?;
    if length > MAX_BODY_BYTES {
        return Err(FrameError::TooLarge(length));
    }
    // Grown while bytes arrive, not allocated up front: the announced length is not trusted.
    let mut body = Vec::new();
    let read = stream.take(length as u64).read_to_end(&mut body).await?;
    if read < length {
        return Err(FrameError::ConnectionLost(std::io::ErrorKind::UnexpectedEof.into()));
    }
    match crc32fast::hash(&body) == checksum {
        true => Ok(decode(&body)?),
        false => Err(FrameError::ChecksumMismatch),
    }
}
