//! What a process knows of the tier and how it uses the servers: news from the control plane, the pool of servers and the
//! choice among them, sending a request, reading events.

mod choice;
mod clock;
mod connect_times;
mod connection;
mod demand;
mod events;
mod headers;
mod known;
mod mix;
mod platform;
mod pool;
mod reconnect;
mod seen;
mod send;
mod share;
mod subscriber;
mod texts;
mod usual_time;

pub use clock::{wall_clock, WallClock};
pub use connection::{Answer, BrokenOff};
pub use demand::{Demand, Kind};
pub use events::{Event, EventOrder, EventReader};
pub use headers::*;
pub use known::Known;
pub use platform::{read_list, ListError, Reader};
pub use pool::{Pool, Ticket};
pub use reconnect::keep_reachable;
pub use send::{client, Outgoing, SendError, Sender};
pub use share::share_uses;
pub use subscriber::{subscribe, Subscription};
pub use usual_time::UsualTime;

#[cfg(test)]
mod tests;
