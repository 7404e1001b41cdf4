//! The front: deals customers' jobs to the limiters of their set, unevenly, and notices dead ones late. Pure.

use crate::chance::{of, Use};
use crate::load::Customer;
use crate::scenario::Scenario;
use fennelgauge::time::{Moment, Span};
use rand::RngExt;

#[derive(Clone, Copy, Debug, Default, PartialEq)]
enum Seen {
    /// Not yet taken in: it has not said that it is ready.
    #[default]
    Unready,
    Up,
    /// Dead, and noticed then.
    Dead(Moment),
}

pub struct Front {
    seed: u64,
    notice: [Span; 2],
    skew: f64,
    shift: Span,
    gateways: Vec<Seen>,
    noticed: u64,
    /// How often customers were moved, and which share of them.
    moved: Vec<f64>,
}

impl Front {
    pub fn new(scenario: &Scenario) -> Self {
        let [least, most] = scenario.front.notice_ms.map(|it| Span::from_secs(it / 1e3));
        Self {
            seed: scenario.seed,
            notice: [least, most],
            skew: scenario.load.skew,
            shift: Span::from_secs(scenario.load.shift_s),
            gateways: vec![Seen::Unready; scenario.deployment.gateways as usize],
            noticed: 0,
            moved: Vec::new(),
        }
    }

    /// A limiter has said that it is ready.
    pub fn ready(&mut self, gateway: u32) {
        if let Some(seen) = self.gateways.get_mut(gateway as usize) {
            *seen = Seen::Up;
        }
    }

    pub fn ready_count(&self) -> u32 {
        self.gateways.iter().filter(|seen| **seen == Seen::Up).count() as u32
    }

    /// A limiter has died, or has gone silent; returns when the front will have noticed.
    pub fn died(&mut self, gateway: u32, now: Moment) -> Moment {
        self.noticed += 1;
        let [least, most] = self.notice;
        let drawn = of(self.seed, Use::World, self.noticed << 20 | u64::from(gateway)).random::<f64>();
        let at = now + least + Span::from_micros(most.micros() - least.micros()).times(drawn);
        if let Some(seen) = self.gateways.get_mut(gateway as usize) {
            *seen = Seen::Dead(at);
        }
        at
    }

    /// A limiter was told to stop: new connections go on coming for a little while.
    pub fn leaves(&mut self, gateway: u32, now: Moment) {
        const STILL_COMING: Span = Span::from_millis(300);
        if let Some(seen) = self.gateways.get_mut(gateway as usize) {
            *seen = Seen::Dead(now + STILL_COMING);
        }
    }

    /// Some share of the customers moves to others of their limiters.
    pub fn shift(&mut self, share: f64) {
        self.moved.push(share);
    }

    fn takes(&self, gateway: u32, now: Moment) -> bool {
        match self.gateways.get(gateway as usize) {
            Some(Seen::Up) => true,
            Some(Seen::Dead(noticed)) => now < *noticed,
            _ => false,
        }
    }

    /// The limiter for a try, if the set has one that is not known to be dead.
    pub fn deal(&self, customer: &Customer, number: u64, now: Moment) -> Option<u32> {
        let gateways = self.gateways.len() as u32;
        let epoch = if self.shift == Span::ZERO { 0 } else { now.micros() / self.shift.micros() };
        let moves = self.moved.iter().enumerate().filter(|(index, share)| {
            of(self.seed, Use::World, customer.id << 8 | *index as u64).random::<f64>() < **share
        });
        let turn = of(self.seed, Use::World, customer.id << 20 ^ epoch << 4 ^ moves.count() as u64);
        let turned = { turn }.random_range(0..customer.set.max(1));
        // The places of the set by weight, beginning with the customer's busiest of the time.
        let weights = (0..customer.set).map(|place| (f64::from(place) + 1.0).powf(-self.skew));
        let alive = weights.enumerate().filter_map(|(place, weight)| {
            let place = (place as u32 + turned) % customer.set.max(1);
            let gateway = (customer.first + place) % gateways;
            self.takes(gateway, now).then_some((gateway, weight))
        });
        let alive: Vec<(u32, f64)> = alive.collect();
        let whole: f64 = alive.iter().map(|one| one.1).sum();
        let mut left = of(self.seed, Use::World, number ^ 0x5eed).random::<f64>() * whole;
        for (gateway, weight) in &alive {
            left -= weight;
            if left < 0.0 {
                return Some(*gateway);
            }
        }
        alive.last().map(|one| one.0)
    }
}
