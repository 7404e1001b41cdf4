//! Frames: length, checksum, then a message in bincode.

use fennelgauge_encoding::{decode, encode, DecodeError};
use serde::de::DeserializeOwned;
use serde::Serialize;
use tokio::io::{AsyncRead, AsyncReadExt};

const HEADER_BYTES: usize = 8;
const MAX_FRAME_BYTES: usize = 96 << 20;

/// Why bytes were no message of ours.
#[derive(Debug, thiserror::Error)]
pub enum FrameError {
    #[error("the connection ended ({0})")]
    ConnectionLost(#[from] std::io::Error),
    #[error("a frame of {0} bytes is over the limit: the peer is not one of ours")]
    TooLarge(usize),
    #[error("a frame's checksum is wrong: the connection is given up")]
    ChecksumMismatch,
    #[error("a frame holds no known message: {0}")]
    Decode(#[from] DecodeError),
}

pub(crate) fn framed<M: Serialize>(message: &M) -> Vec<u8> {
    let body = encode(message);
    let mut frame = Vec::with_capacity(HEADER_BYTES + body.len());
    frame.extend_from_slice(&(body.len() as u32).to_le_bytes());
    frame.extend_from_slice(&crc32fast::hash(&body).to_le_bytes());
    frame.extend_from_slice(&body);
    frame
}

pub(crate) async fn read_frame<M: DeserializeOwned>(
    stream: &mut (impl AsyncRead + Unpin),
) -> Result<M, FrameError> {
    let length = stream.read_u32_le().await? as usize;
    let checksum = stream.read_u32_le().await?;
    if length > MAX_FRAME_BYTES {
        return Err(FrameError::TooLarge(length));
    }
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
