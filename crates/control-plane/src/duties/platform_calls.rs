//! Calls to the platform in the name of the head.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use awc::http::StatusCode;
use fennelgauge_coordination::FencingToken;
use fennelgauge_upstream::{platform_client, FENCING_TOKEN, LEASE_HOLDER};
use strum::Display;

use crate::core::Core;

/// Timeout of a call to the platform.
const PLATFORM_CALL_TIMEOUT: Duration = Duration::from_millis(1_200);

/// A duty that one machine at a time carries out. Printed as its path at the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Duty {
    /// Reports the requests of a usage window.
    Usage,
    /// Orders servers.
    Scale,
}

/// Why a call to the platform has no response.
#[derive(Debug, thiserror::Error)]
pub enum PlatformCallError {
    /// This machine no longer holds the duty; nothing was sent.
    #[error("not sent: this machine is no longer the head of a confirmed view")]
    NotHolder,
    /// The platform did not respond, or not in time; the call may have been carried out.
    #[error("no response, the next round calls again: {0}")]
    NoResponse(String),
}

/// Calls the platform for the head's duties.
pub struct PlatformCaller {
    core: Rc<Core>,
    client: awc::Client,
    address: SocketAddr,
}

impl PlatformCaller {
    /// Creates a caller of the platform at `address`.
    pub fn new(core: Rc<Core>, address: SocketAddr) -> Self {
        Self { core, client: platform_client(), address }
    }

    /// Calls the platform with the token under which the duty was taken, and returns the status of the response.
    ///
    /// # Errors
    /// If this machine no longer holds the duty under that token, or the platform did not respond.
    pub async fn call(
        &self,
        held: FencingToken,
        duty: Duty,
        body: &serde_json::Value,
    ) -> Result<StatusCode, PlatformCallError> {
        let token = self.core.authorize_call(held).ok_or(PlatformCallError::NotHolder)?;
        log::info!("platform call {duty} with fencing token {}: {body}", token.number());
        let call = self
            .client
            .post(format!("http://{}/{duty}", self.address))
            .timeout(PLATFORM_CALL_TIMEOUT)
            .insert_header((LEASE_HOLDER, self.core.me.identity.node.as_str()))
            .insert_header((FENCING_TOKEN, token.number().to_string()))
            .send_json(body);
        let response = call.await.map_err(|reason| PlatformCallError::NoResponse(reason.to_string()))?;
        if !response.status().is_success() {
            log::warn!("platform call {duty} with {body}: response status {}", response.status());
        }
        Ok(response.status())
    }
}
