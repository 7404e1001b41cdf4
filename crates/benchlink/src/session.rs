//! Turns event records into calls to the decisions of one gateway instance or another, and their actions into records
//! of the reply, which is all that instances share.

use crate::frame::{Batch, Record, Reply};
use fennelgauge::choice::Gateway;
use fennelgauge::host::{Arrival, CounterKey, Health, Host, JobId, Outcome, RelayEnd, RosterEntry, ServerId};
use fennelgauge::time::{Moment, Span};
use fennelgauge_launch::LaunchSettings;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

/// Bytes of a roster entry.
const ROSTER_ENTRY_SIZE: usize = 23;

/// Codes of event records.
mod event {
    pub const ROSTER: u16 = 1000;
    pub const RELAY_ENDED: u16 = 1010;
    pub const TIMER: u16 = 1020;
    pub const START: u16 = 1030;
    pub const COUNTER_REPLY: u16 = 1060;
    pub const STOP: u16 = 1080;
    pub const ARRIVAL: u16 = 1100;
}

/// Codes of action records.
mod action {
    pub const SUBSCRIBE_TO_ROSTER: u16 = 1010;
    pub const FAIL: u16 = 1030;
    pub const SET_TIMER: u16 = 1050;
    pub const ADD_TO_COUNTER: u16 = 1070;
    pub const CANCEL_RELAY: u16 = 1080;
    pub const REJECT: u16 = 1100;
    pub const RELAY: u16 = 1110;
}

/// All gateway instances of a benchmark run, by their number.
#[derive(Default)]
pub struct Session {
    gateways: BTreeMap<u16, Gateway<ReplyWriter>>,
    reply: Rc<RefCell<Reply>>,
}

/// Writes the actions of one instance into the shared reply.
struct ReplyWriter {
    instance: [u8; 2],
    reply: Rc<RefCell<Reply>>,
}

impl ReplyWriter {
    fn push(&self, code: u16, fields: [&[u8]; 3]) {
        let [a, b, c] = fields;
        self.reply.borrow_mut().push(code, &[&self.instance, a, b, c]);
    }
}

/// Encodes a duration as 32-bit microseconds; longer ones are written as the maximum.
fn micros(span: Span) -> [u8; 4] {
    u32::try_from(span.micros()).unwrap_or(u32::MAX).to_le_bytes()
}

impl Host for ReplyWriter {
    fn relay(&mut self, job: JobId, server: ServerId, timeout: Span) {
        self.push(action::RELAY, [&job.to_le_bytes(), &server.to_le_bytes(), &micros(timeout)]);
    }

    fn cancel_relay(&mut self, job: JobId, relay: u8) {
        self.push(action::CANCEL_RELAY, [&job.to_le_bytes(), &[relay], &[]]);
    }

    fn reject(&mut self, job: JobId, retry_after: Option<Span>) {
        self.push(action::REJECT, [&job.to_le_bytes(), &micros(retry_after.unwrap_or_default()), &[]]);
    }

    fn fail(&mut self, job: JobId) {
        self.push(action::FAIL, [&job.to_le_bytes(), &[], &[]]);
    }

    fn set_timer(&mut self, after: Span, timer_id: u64) {
        self.push(action::SET_TIMER, [&micros(after), &timer_id.to_le_bytes(), &[]]);
    }

    fn add_to_counter(&mut self, key: CounterKey, amount: f64, retention: Span) {
        self.push(
            action::ADD_TO_COUNTER,
            [&key.to_le_bytes(), &(amount as f32).to_le_bytes(), &micros(retention)],
        );
    }

    fn subscribe_to_roster(&mut self) {
        self.push(action::SUBSCRIBE_TO_ROSTER, [&[1], &[], &[]]);
    }
}

impl Session {
    /// Handles the events of a batch and returns the frame of the reply. Invalid records are logged and skipped.
    pub fn answer(&mut self, batch: &Batch) -> Vec<u8> {
        let now = Moment::from_micros(batch.clock);
        for (index, record) in batch.records().enumerate() {
            if let Err(error) = self.handle(now, record) {
                eprintln!("fennelgauge-benchlink: batch {}, record {index} skipped: {error}", batch.number);
            }
        }
        self.reply.borrow_mut().finish(batch.number)
    }

    fn handle(&mut self, now: Moment, record: Record) -> Result<(), String> {
        let instance = record.u16(2);
        match record.u16(0) {
            event::START => {
                let text = record.bytes(12).ok_or("settings point outside the frame")?;
                let settings: LaunchSettings =
                    serde_json::from_slice(text).map_err(|error| format!("settings: {error}"))?;
                let writer = ReplyWriter { instance: instance.to_le_bytes(), reply: Rc::clone(&self.reply) };
                self.gateways
                    .insert(instance, Gateway::start(now, writer, settings.deployment, record.u64(4)));
                return Ok(());
            }
            event::STOP => {
                self.gateways.remove(&instance);
                return Ok(());
            }
            _ => {}
        }
        let gateway = self
            .gateways
            .get_mut(&instance)
            .ok_or_else(|| format!("no gateway instance {instance} was started"))?;
        match record.u16(0) {
            event::ROSTER => {
                let entries = record
                    .items(9, ROSTER_ENTRY_SIZE)
                    .ok_or("roster entries point outside the frame")?
                    .map(entry);
                match record.u8(4) {
                    0 => gateway.roster_changed(now, entries),
                    1 | 2 => gateway.roster_replaced(now, entries),
                    // The roster could not be read: keep the old one and subscribe again.
                    _ => gateway.host.subscribe_to_roster(),
                }
            }
            event::ARRIVAL => gateway.job_arrived(now, arrival(record)?),
            event::RELAY_ENDED => {
                let outcome = outcome(record.u16(17)).ok_or("unknown outcome status")?;
                gateway.relay_ended(
                    now,
                    RelayEnd {
                        job: record.u64(4),
                        server: record.u32(13),
                        outcome,
                        duration: Span::from_micros(record.u32(19).into()),
                        job_finished: record.u8(23) != 0,
                    },
                );
            }
            // The client is gone, or a streamed answer has begun.
            1050 | 1070 => gateway.job_closed(now, record.u64(4)),
            event::TIMER => gateway.timer_fired(now, record.u64(4)),
            event::COUNTER_REPLY => {
                let outcome = outcome(record.u16(12)).ok_or("unknown outcome status")?;
                let total = Some(f64::from(record.f32(14)))
                    .filter(|total| outcome == Outcome::Succeeded && total.is_finite());
                gateway.counter_replied(now, record.u64(4), total, outcome);
            }
            // Replies to probes and messages from other gateways are not used.
            1040 | 1090 => {}
            code => return Err(format!("unknown event code {code}")),
        }
        Ok(())
    }
}

/// Decodes an arrival event.
fn arrival(record: Record) -> Result<Arrival, String> {
    let (units, set_size) = (f64::from(record.f32(32)), record.f32(20));
    if !(units.is_finite() && units >= 0.0) {
        return Err(format!("invalid size of a job: {units} units"));
    }
    Ok(Arrival {
        job: record.u64(4),
        customer: record.u64(37),
        class: record.u16(45).into(),
        plan: record.u32(16) as usize,
        units,
        first_gateway: record.f32(12) as u32,
        gateway_set_size: (set_size as u32).max(1),
        abandon_at: Moment::from_micros(record.u64(24)),
    })
}

/// Decodes the status of a relay or counter call; `None` if unknown.
fn outcome(status: u16) -> Option<Outcome> {
    Some(match status {
        0 => Outcome::Succeeded,
        255 => Outcome::Error,
        254 => Outcome::Full,
        253 => Outcome::TimedOut,
        252 => Outcome::ConnectFailed,
        251 => Outcome::Reset,
        250 => Outcome::Cancelled,
        249 => Outcome::NotSent,
        _ => return None,
    })
}

/// Decodes a roster entry.
fn entry(record: Record) -> RosterEntry {
    let started = record.u64(13);
    RosterEntry {
        server: record.u32(3),
        health: match record.u8(2) {
            0 => Health::Gone,
            1 => Health::Ready,
            _ => Health::Draining,
        },
        rating: f64::from(record.f32(7)),
        zone: record.u16(11),
        cell: record.u16(21),
        started: (started > 0).then(|| Moment::from_micros(started)),
    }
}
