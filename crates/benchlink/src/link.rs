//! Calls on the module from what is read, records from the module's calls. Instances share only the reply.

use crate::frame::{Batch, Record, Reply};
use fennelgauge::choice::Gateway;
use fennelgauge::host::{Arrival, CounterKey, Health, Host, JobId, Outcome, RelayEnd, RosterEntry, ServerId};
use fennelgauge::time::{Moment, Span};
use fennelgauge_launch::LaunchSettings;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

const ENTRY: usize = 23;

#[derive(Default)]
pub struct Link {
    gateways: BTreeMap<u16, Gateway<Line>>,
    reply: Rc<RefCell<Reply>>,
}

/// One instance's way into the reply.
struct Line {
    who: [u8; 2],
    reply: Rc<RefCell<Reply>>,
}

impl Line {
    fn push(&self, code: u16, fields: [&[u8]; 3]) {
        let [a, b, c] = fields;
        self.reply.borrow_mut().push(code, &[&self.who, a, b, c]);
    }
}

/// The wire's widths are narrower than a span; what does not fit is cut to the widest.
fn wide(span: Span) -> [u8; 4] {
    u32::try_from(span.micros()).unwrap_or(u32::MAX).to_le_bytes()
}

impl Host for Line {
    fn relay(&mut self, job: JobId, server: ServerId, patience: Span) {
        self.push(1110, [&job.to_le_bytes(), &server.to_le_bytes(), &wide(patience)]);
    }

    fn cancel_relay(&mut self, job: JobId, relay: u8) {
        self.push(1080, [&job.to_le_bytes(), &[relay], &[]]);
    }

    fn reject(&mut self, job: JobId, hold_off: Option<Span>) {
        self.push(1100, [&job.to_le_bytes(), &wide(hold_off.unwrap_or_default()), &[]]);
    }

    fn fail(&mut self, job: JobId) {
        self.push(1030, [&job.to_le_bytes(), &[], &[]]);
    }

    fn set_timer(&mut self, after: Span, mark: u64) {
        self.push(1050, [&wide(after), &mark.to_le_bytes(), &[]]);
    }

    fn add_to_counter(&mut self, name: CounterKey, amount: f64, keep: Span) {
        self.push(1070, [&name.to_le_bytes(), &(amount as f32).to_le_bytes(), &wide(keep)]);
    }

    fn subscribe_to_roster(&mut self) {
        self.push(1010, [&[1], &[], &[]]);
    }
}

impl Link {
    /// Plays one batch and returns the reply's frame. A record that cannot be read is told and skipped.
    pub fn answer(&mut self, batch: &Batch) -> Vec<u8> {
        let now = Moment::from_micros(batch.clock);
        for (index, record) in batch.records().enumerate() {
            if let Err(what) = self.play(now, record) {
                eprintln!("fennelgauge-benchlink: batch {}, record {index}: {what}", batch.number);
            }
        }
        self.reply.borrow_mut().finish(batch.number)
    }

    fn play(&mut self, now: Moment, record: Record) -> Result<(), String> {
        let who = record.u16(2);
        match record.u16(0) {
            1030 => {
                let text = record.bytes(12).ok_or("settings out of bounds")?;
                let launch: LaunchSettings =
                    serde_json::from_slice(text).map_err(|error| format!("settings: {error}"))?;
                let line = Line { who: who.to_le_bytes(), reply: Rc::clone(&self.reply) };
                self.gateways.insert(who, Gateway::start(now, line, launch.deployment, record.u64(4)));
                return Ok(());
            }
            1080 => {
                self.gateways.remove(&who);
                return Ok(());
            }
            _ => {}
        }
        let gateway = self.gateways.get_mut(&who).ok_or_else(|| format!("no instance {who}"))?;
        match record.u16(0) {
            1000 => {
                let entries = record.pieces(9, ENTRY).ok_or("roster out of bounds")?.map(entry);
                match record.u8(4) {
                    0 => gateway.roster_changed(now, entries),
                    1 | 2 => gateway.roster_replaced(now, entries),
                    // It could not be had; the old one stands.
                    _ => gateway.host.subscribe_to_roster(),
                }
            }
            1100 => gateway.job_arrived(now, arrival(record)?),
            1010 => {
                let outcome = outcome(record.u16(17)).ok_or("unknown outcome")?;
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
            1050 | 1070 => gateway.job_closed(now, record.u64(4)),
            1020 => gateway.timer_fired(now, record.u64(4)),
            1060 => {
                let outcome = outcome(record.u16(12)).ok_or("unknown outcome")?;
                let total = Some(f64::from(record.f32(14)))
                    .filter(|total| outcome == Outcome::Succeeded && total.is_finite());
                gateway.counter_replied(now, record.u64(4), total, outcome);
            }
            // Probes and messages between gateways are not used.
            1040 | 1090 => {}
            code => return Err(format!("unknown code {code}")),
        }
        Ok(())
    }
}

fn arrival(record: Record) -> Result<Arrival, String> {
    let (units, set_size) = (f64::from(record.f32(32)), record.f32(20));
    if !(units.is_finite() && units >= 0.0) {
        return Err(format!("{units} units"));
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

fn entry(record: Record) -> RosterEntry {
    let since = record.u64(13);
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
        started: (since > 0).then(|| Moment::from_micros(since)),
    }
}
