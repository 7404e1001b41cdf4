//! Frames: length, checksum, then a message in bincode.

use serde::de::DeserializeOwned;
use serde::Serialize;
use tokio::io::{AsyncRead, AsyncReadExt};

const HEADER_BYTES: usize = 8;
const MAX_FRAME_BYTES: usize = 96 << 20;
/// Most messages are shorter, and hold no more than this once they are read.
const SHORT_BYTES: usize = 64 << 10;
const SHORT_DECODED_BYTES: usize = 1 << 20;
const MAX_DECODED_BYTES: usize = 2 * MAX_FRAME_BYTES;

/// Why bytes were no message of ours.
#[derive(Debug, thiserror::Error)]
pub enum FrameError {
    #[error("the connection ended ({0})")]
    Ended(#[from] std::io::Error),
    #[error("a frame of {0} bytes is over the limit: the peer is not one of ours")]
    TooLarge(usize),
    #[error("a frame's checksum is wrong: the connection is given up")]
    Garbled,
    #[error("a frame holds no known message ({0}): run one version everywhere")]
    Unknown(String),
}

fn configuration() -> bincode::config::Configuration {
    bincode::config::standard()
}

/// A message in bincode, without a frame.
pub fn encode<M: Serialize>(message: &M) -> Vec<u8> {
    bincode::serde::encode_to_vec(message, configuration()).unwrap_or_default()
}

/// The message that `bytes` hold, all of them. Lengths in the message that its size cannot hold are refused before memory is taken for them.
pub fn decode<M: DeserializeOwned>(bytes: &[u8]) -> Result<M, FrameError> {
    let decoded = match bytes.len() {
        0..=SHORT_BYTES => {
            bincode::serde::decode_from_slice(bytes, configuration().with_limit::<SHORT_DECODED_BYTES>())
        }
        _ => bincode::serde::decode_from_slice(bytes, configuration().with_limit::<MAX_DECODED_BYTES>()),
    };
    match decoded {
        Ok((message, used)) if used == bytes.len() => Ok(message),
        Ok(_) => Err(FrameError::Unknown("bytes are left over".to_owned())),
        Err(reason) => Err(FrameError::Unknown(reason.to_string())),
    }
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
        return Err(FrameError::Ended(std::io::ErrorKind::UnexpectedEof.into()));
    }
    match crc32fast::hash(&body) == checksum {
        true => decode(&body),
        false => Err(FrameError::Garbled),
    }
}
