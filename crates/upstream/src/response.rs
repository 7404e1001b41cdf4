//! The response of a server: its head, and its body as a stream that tells a complete body from a truncated one.

use actix_http::h1::{ClientCodec, ClientPayloadCodec};
use actix_web::web::{Bytes, BytesMut};
use awc::http::header::{HeaderMap, HeaderName, HeaderValue};
use awc::http::StatusCode;
use fennelgauge_response_head::{parse_response_head, BodyEnd, HeadError};
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio_util::codec::Decoder;

use crate::connection::IdlePlace;

/// A head for which the library creates its decoder of chunks.
const HEAD_OF_CHUNKS: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Space for which a connection is read, in bytes.
const READ_BUFFER_BYTES: usize = 8 << 10;
/// A buffer with less space than this is extended before a read, in bytes.
const MIN_READ_BYTES: usize = 1 << 10;

/// The head of a response.
pub(crate) struct ReceivedHead {
    status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body_end: BodyEnd,
    pub(crate) keep_alive: bool,
}

/// Why a head cannot be used.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ReceivedHeadError {
    #[error(transparent)]
    NoHead(#[from] HeadError),
    /// The library has no such status, name or value.
    #[error("the library rejects it")]
    Unsupported,
}

/// The response of a server. Dropping it before the end of the body was read closes the connection, also if there is no body, until
/// [`Self::finish_if_empty`].
pub struct UpstreamResponse {
    head: ReceivedHead,
    body: Body,
    /// Whether its connection had been used for another request.
    on_reused_connection: bool,
}

/// How much of a body is still to come.
enum Remaining {
    Nothing,
    /// This number of bytes.
    Bytes(u64),
    /// Chunks until the last one.
    Chunks(ClientPayloadCodec),
    /// Everything until the orderly end of the connection.
    UntilClose,
}

pub(crate) struct Body {
    /// `None` after the end of the body.
    stream: Option<TcpStream>,
    buffer: BytesMut,
    remaining: Remaining,
    /// Where the connection goes after a complete body, if it can be reused.
    return_to: Option<IdlePlace>,
}

/// The connection ended before the end of the body.
#[derive(Clone, Copy, Debug, thiserror::Error)]
#[error("the response body was truncated: the connection to the server ended early")]
pub struct TruncatedBody;

impl ReceivedHead {
    /// Takes the head of a response, with interim responses before it, off the start of `buffer`; `None` until it is complete.
    ///
    /// # Errors
    /// If there is no head.
    pub(crate) fn split_from(
        buffer: &mut BytesMut,
        answers_head_request: bool,
    ) -> Result<Option<Self>, ReceivedHeadError> {
        let Some(parsed) = parse_response_head(buffer, answers_head_request)? else { return Ok(None) };
        let mut headers = HeaderMap::with_capacity(parsed.fields.len());
        for field in &parsed.fields {
            let name = HeaderName::from_bytes(field.name.as_bytes());
            let value = HeaderValue::from_bytes(field.value);
            let (Ok(name), Ok(value)) = (name, value) else { return Err(ReceivedHeadError::Unsupported) };
            headers.append(name, value);
        }
        let status = StatusCode::from_u16(parsed.status).map_err(|_| ReceivedHeadError::Unsupported)?;
        let head = Self { status, headers, body_end: parsed.body_end, keep_alive: parsed.keep_alive };
        let consumed_bytes = parsed.consumed_bytes;
        drop(buffer.split_to(consumed_bytes));
        Ok(Some(head))
    }
}

impl UpstreamResponse {
    pub(crate) fn new(head: ReceivedHead, body: Body, on_reused_connection: bool) -> Self {
        Self { head, body, on_reused_connection }
    }

    /// Returns the status code.
    pub fn status(&self) -> StatusCode {
        self.head.status
    }

    /// Returns the headers.
    pub fn headers(&self) -> &HeaderMap {
        &self.head.headers
    }

    /// Returns where the body ends.
    pub fn body_end(&self) -> BodyEnd {
        self.head.body_end
    }

    /// Whether the connection of this response had been idle before its request.
    pub fn on_reused_connection(&self) -> bool {
        self.on_reused_connection
    }

    /// Returns the next bytes of the body, or `None` if it is complete.
    pub async fn next(&mut self) -> Option<Result<Bytes, TruncatedBody>> {
        self.body.next().await
    }

    /// Makes the connection reusable at once if the response has no body.
    pub(crate) fn finish_if_empty(&mut self) {
        if matches!(self.body.remaining, Remaining::Nothing) {
            self.body.finish();
        }
    }

    /// Reads and drops the rest of the body, so that the connection can be reused.
    pub async fn discard(mut self) {
        while let Some(Ok(_)) = self.next().await {}
    }
}

impl Body {
    /// Creates the body that ends as given, of which `buffer` has been received. If it ends with the connection, nothing may have failed
    /// on `stream` before.
    pub(crate) fn new(
        stream: TcpStream,
        buffer: BytesMut,
        body_end: BodyEnd,
        return_to: Option<IdlePlace>,
    ) -> Self {
        let remaining = match body_end {
            BodyEnd::NoBody | BodyEnd::Length(0) => Remaining::Nothing,
            BodyEnd::Length(bytes) => Remaining::Bytes(bytes),
            BodyEnd::LastChunk => Remaining::Chunks(chunk_decoder()),
            BodyEnd::ConnectionClose => Remaining::UntilClose,
        };
        Self { stream: Some(stream), buffer, remaining, return_to }
    }

    async fn next(&mut self) -> Option<Result<Bytes, TruncatedBody>> {
        loop {
            self.stream.as_ref()?;
            match self.take_received() {
                Ok(Some(bytes)) => return Some(Ok(bytes)),
                Ok(None) => {}
                Err(TruncatedBody) => return self.truncated(),
            }
            if matches!(self.remaining, Remaining::Nothing) {
                self.finish();
                return None;
            }
            let stream = self.stream.as_mut()?;
            reserve_for_read(&mut self.buffer);
            match stream.read_buf(&mut self.buffer).await {
                Ok(1..) => {}
                Ok(0) if matches!(self.remaining, Remaining::UntilClose) => {
                    self.stream = None;
                    return None;
                }
                _ => return self.truncated(),
            }
        }
    }

    /// Takes bytes of the body from the buffer, if there are any.
    fn take_received(&mut self) -> Result<Option<Bytes>, TruncatedBody> {
        match &mut self.remaining {
            Remaining::Nothing => Ok(None),
            Remaining::UntilClose => Ok(non_empty(self.buffer.split())),
            Remaining::Bytes(remaining) => {
                let available = usize::try_from(*remaining).unwrap_or(usize::MAX).min(self.buffer.len());
                *remaining -= available as u64;
                if *remaining == 0 {
                    self.remaining = Remaining::Nothing;
                }
                Ok(non_empty(self.buffer.split_to(available)))
            }
            Remaining::Chunks(decoder) => match decoder.decode(&mut self.buffer) {
                Ok(Some(Some(bytes))) => Ok(Some(bytes)),
                Ok(Some(None)) => {
                    self.remaining = Remaining::Nothing;
                    Ok(None)
                }
                Ok(None) => Ok(None),
                Err(_) => Err(TruncatedBody),
            },
        }
    }

    fn truncated(&mut self) -> Option<Result<Bytes, TruncatedBody>> {
        self.stream = None;
        Some(Err(TruncatedBody))
    }

    /// Ends a complete body and makes its connection available if it is reusable and no surplus data was received.
    fn finish(&mut self) {
        let (Some(stream), Some(return_to)) = (self.stream.take(), self.return_to.take()) else { return };
        if self.buffer.is_empty() {
            return_to.add(stream);
        }
    }
}

/// Extends a buffer if it has little space: a read takes no more than fits.
pub(crate) fn reserve_for_read(buffer: &mut BytesMut) {
    if buffer.capacity() - buffer.len() < MIN_READ_BYTES {
        buffer.reserve(READ_BUFFER_BYTES);
    }
}

fn non_empty(bytes: BytesMut) -> Option<Bytes> {
    (!bytes.is_empty()).then(|| bytes.freeze())
}

/// Returns the library's decoder of chunks.
fn chunk_decoder() -> ClientPayloadCodec {
    let mut codec = ClientCodec::default();
    let decoded = codec.decode(&mut BytesMut::from(HEAD_OF_CHUNKS));
    debug_assert!(matches!(decoded, Ok(Some(_))), "the head is lawful");
    codec.into_payload_codec()
}
