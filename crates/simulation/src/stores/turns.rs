//! The clients' turns: they submit batch jobs, end some, send some once more, and read all of them from any position, through data planes
//! whose views may be old.

use fennelgauge_batch::Job;
use fennelgauge_coordination::StoreView;

use super::client::{group_of, page_seen, sent, taken_by, tenant_name, tenant_of, Client, Duty};
use super::configuration::{ItemNature, Version, UNCHANGING_ROUTE};
use super::plant::StorePlant;
use super::protocol::{Answer, Ask};
use super::world::World;
use crate::chance::SeededRng;
use crate::day::{Micros, MILLISECOND};

const MOST_TRIES: u32 = 40;
const ASK_AGAIN: (Micros, Micros) = (60 * MILLISECOND, 300 * MILLISECOND);
const READ_EVERY: (Micros, Micros) = (40 * MILLISECOND, 220 * MILLISECOND);
const SWEEP_EVERY: Micros = 15 * MILLISECOND;

impl World<'_> {
    /// A client's turn: it asks the store that its data plane's view names.
    pub(super) fn client_turn(&mut self, number: usize) {
        let mut client = std::mem::replace(&mut self.clients[number], Client::new(Duty::End { job: None }));
        client.plane = self.chance.below(self.planes.len());
        let view = self.planes[client.plane].view.clone();
        let asked = self.next_ask(&mut client, &view);
        let again = match (&client.duty, self.is_sweeping()) {
            (Duty::Read { .. }, true) => SWEEP_EVERY,
            (Duty::Read { .. }, false) => self.chance.between(READ_EVERY.0, READ_EVERY.1),
            _ => self.chance.between(ASK_AGAIN.0, ASK_AGAIN.1),
        };
        client.asked = self.now;
        client.waits_for = None;
        match asked {
            Some((to, ask)) => client.waits_for = Some(self.call_of_client(number, to, ask)),
            None => self.client_again(number, again),
        }
        self.clients[number] = client;
    }

    /// Returns a new batch job for a route that the client's data plane knows; `None` if it knows none.
    fn new_job(&mut self, client: &mut Client, tenant: usize, configuration: &Version) -> Option<Job> {
        let routes: Vec<&String> = configuration.routes.keys().collect();
        if !self.day.changes_routes {
            let runs = |_: &mut SeededRng| ItemNature::Runs;
            let route = UNCHANGING_ROUTE;
            return Some(client.new_job(tenant, self.day.most_items, route, runs, &mut self.chance));
        }
        let route = String::clone(self.chance.choose(&routes)?);
        let has_failing_items = self.day.has_failing_items;
        let natures = |chance: &mut SeededRng| match has_failing_items && chance.per_mille(600) {
            true if chance.per_mille(700) => ItemNature::Fails,
            true => ItemNature::Rejected,
            false => ItemNature::drawn(&route, chance),
        };
        Some(client.new_job(tenant, self.day.most_items, &route, natures, &mut self.chance))
    }

    fn next_ask(&mut self, client: &mut Client, view: &StoreView) -> Option<(usize, Ask)> {
        let epoch = view.epoch;
        let mut duty = client.duty.clone();
        let asked = match &mut duty {
            Duty::Submit { tenant, job, tries, may_have_executed } => {
                let is_away = self.away.get(tenant).is_some_and(|until| self.now < *until);
                let configuration = self.planes[client.plane].configuration.clone();
                if job.is_none() && self.may_submit() && !is_away {
                    *job = self.new_job(client, *tenant, &configuration);
                    (*tries, *may_have_executed) = (0, false);
                }
                let submitted = job.clone()?;
                *tries += 1;
                self.judge.record_submission(&sent(&submitted, self.now));
                let Some(job) = taken_by(&configuration, &submitted, self.now) else {
                    // Answered 404: the route is not known there yet, or has ended.
                    if *tries > MOST_TRIES {
                        *job = None;
                    }
                    client.duty = duty;
                    return None;
                };
                let group = group_of(*tenant);
                let to = view.head(group).map(|head| head.member.peer);
                let most_queued = self.planes[client.plane].most_queued;
                let ask = Ask::Submit { epoch, group, job, most_queued };
                (to, ask)
            }
            Duty::End { job } => {
                if job.is_none() {
                    *job = self.to_end.pop();
                }
                let job = job.clone()?;
                self.judge.record_cancel_request(&job);
                let group = group_of(tenant_of(&job));
                let to = view.head(group).map(|head| head.member.peer);
                let tenant = tenant_name(tenant_of(&job));
                (to, Ask::End { epoch, group, tenant, job })
            }
            Duty::Read { job } => {
                let accepted = self.judge.accepted_jobs();
                let chosen = match self.is_sweeping() {
                    true => {
                        let unread: Vec<String> =
                            accepted.iter().filter(|job| !self.swept.contains(*job)).cloned().collect();
                        let from = if unread.is_empty() { &accepted } else { &unread };
                        self.chance.choose(from).cloned()
                    }
                    // The newest are read most.
                    false if self.chance.per_mille(700) => {
                        let newest = accepted.len().saturating_sub(6);
                        self.chance.choose(accepted.get(newest..).unwrap_or_default()).cloned()
                    }
                    false => self.chance.choose(&accepted).cloned(),
                };
                let chosen = chosen?;
                let start = match self.is_sweeping() || self.chance.per_mille(600) {
                    true => 0,
                    false => self.chance.below(self.day.most_items) as u32,
                };
                *job = Some((chosen.clone(), start));
                let group = group_of(tenant_of(&chosen));
                let links = view.group(group).map(|held| held.chain.clone()).unwrap_or_default();
                let link = match self.plant {
                    Some(StorePlant::AnyLinkAnswers) => self.chance.choose(&links),
                    _ => links.last(),
                };
                let to = link.and_then(|link| view.store(*link)).map(|link| link.member.peer);
                let tenant = tenant_name(tenant_of(&chosen));
                (to, Ask::Read { epoch, group, tenant, job: chosen, start })
            }
        };
        client.duty = duty;
        let (to, ask) = asked;
        Some((crate::network::Network::machine(to?), ask))
    }

    /// A client got an answer, or none in time.
    pub(super) fn client_heard(&mut self, number: usize, call: u64, answer: Option<Answer>) {
        if self.clients[number].waits_for != Some(call) {
            return;
        }
        let mut duty = self.clients[number].duty.clone();
        let (asked, plane) = (self.clients[number].asked, self.clients[number].plane);
        let reader = format!("plane {plane}");
        let mut pause = self.chance.between(ASK_AGAIN.0, ASK_AGAIN.1);
        if let Duty::Submit { may_have_executed, .. } = &mut duty {
            *may_have_executed |= matches!(answer, None | Some(Answer::Unsure | Answer::Accepted));
        }
        match (&mut duty, answer) {
            (Duty::Submit { job, .. }, Some(Answer::Accepted)) => {
                if let Some(accepted) = job.take() {
                    self.accepted(&accepted.id);
                    // Now and then as if its 202 had been lost.
                    *job = self.chance.per_mille(60).then_some(accepted);
                }
                pause = self.chance.between(self.day.pause / 2, self.day.pause);
            }
            (Duty::Submit { job, may_have_executed, .. }, Some(Answer::OverQuota)) => {
                let job = job.take();
                if !*may_have_executed || self.plant == Some(StorePlant::RefusesByTheLastReply) {
                    self.refused(job);
                }
            }
            (Duty::Submit { job, .. }, Some(Answer::GivenUp)) => *job = None,
            (Duty::End { job }, Some(Answer::GivenUp)) => *job = None,
            (Duty::Submit { job, tries, .. }, _) if *tries > MOST_TRIES => *job = None,
            (Duty::End { job }, Some(Answer::Accepted)) => {
                if let Some(job) = job.take() {
                    self.judge.record_cancelled(self.now, &job);
                }
            }
            (Duty::Read { job: Some((job, start)) }, Some(Answer::Page(page))) => {
                self.judge.check_page(asked, self.now, job, &page_seen(*start, &page), &reader);
                if self.is_sweeping() && *start == 0 {
                    self.swept.insert(job.clone());
                }
                pause = self.chance.between(READ_EVERY.0, READ_EVERY.1);
            }
            (Duty::Read { job: Some((job, _)) }, Some(Answer::GivenUp)) => {
                self.judge.check_reported_given_up(asked, self.now, job, &reader);
                self.swept.insert(job.clone());
            }
            (Duty::Read { job: Some((job, _)) }, Some(Answer::NotFound)) => {
                self.judge.check_not_found(asked, self.now, job, &reader);
            }
            _ => {}
        }
        if self.is_sweeping() {
            pause = SWEEP_EVERY;
        }
        self.clients[number].duty = duty;
        self.clients[number].waits_for = None;
        self.client_again(number, pause);
    }

    /// A client is told that its batch job does not run, now or later.
    fn refused(&mut self, job: Option<Job>) {
        let refused = job.filter(|job| !self.judge.accepted_jobs().contains(&job.id));
        if let Some(job) = refused {
            self.judge.record_refusal(self.now, &job.id);
        }
    }

    fn accepted(&mut self, job: &str) {
        self.acceptances += 1;
        self.judge.record_acceptance(self.now, job);
        if self.chance.per_mille(120) && !self.is_sweeping() {
            self.to_end.push(job.to_owned());
        }
    }
}
