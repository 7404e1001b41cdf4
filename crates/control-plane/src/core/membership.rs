//! Who is there: heartbeats among members, machines that want to join, and when the view has to change.

use std::rc::Rc;
use std::time::Duration;

use fennelgauge_coordination::{next_view, Member, View};
use fennelgauge_wire::{CoreReply, CoreRequest};
use futures_util::future::join_all;
use tokio::time::{sleep, Instant};

use super::Core;

const HEARTBEAT_EVERY: Duration = Duration::from_millis(200);
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(600);
/// A member not heard for so long is taken for lost.
const LOST_AFTER: Duration = Duration::from_millis(1_000);
/// A machine's wish to join holds for so long.
const JOIN_HOLDS: Duration = Duration::from_millis(1_800);
const JOIN_EVERY: Duration = Duration::from_millis(500);
/// A view that was sealed for so long without a next one is taken up by whoever waits.
const SEALED_TOO_LONG: Duration = Duration::from_millis(900);
/// Seeds propose the first view one after the other, so much apart.
const FIRST_VIEW_TURN: Duration = Duration::from_millis(400);

impl Core {
    /// Keeps this machine's part in the membership, without end.
    pub async fn keep_membership(self: Rc<Self>) {
        let began = Instant::now();
        let mut joined_at: Option<Instant> = None;
        loop {
            sleep(HEARTBEAT_EVERY).await;
            self.exchange_heartbeats().await;
            if joined_at.is_none_or(|at| at.elapsed() >= JOIN_EVERY) {
                joined_at = Some(Instant::now());
                tokio::task::spawn_local(self.clone().ask_to_join());
            }
            if self.epoch() == 0 {
                self.form_first_view(began.elapsed()).await;
            } else if self.is_member() {
                self.mend_view().await;
            }
        }
    }

    async fn exchange_heartbeats(self: &Rc<Self>) {
        let view = self.view();
        if view.epoch == 0 || !self.is_member() {
            return;
        }
        let began = Instant::now();
        let others = view.members.iter().filter(|member| member.identity != self.me.identity);
        let replies = join_all(others.map(|member| self.heartbeat(member, view.epoch))).await;
        let own = !self.acceptor.borrow().sealed() && !self.is_disk_in_trouble();
        let agreeing = replies.into_iter().filter(|agrees| *agrees).count() + usize::from(own);
        if agreeing >= view.majority() && self.epoch() == view.epoch {
            self.known.take_confirmed(began.elapsed());
        }
        if self.is_head() {
            self.hear_joiners().await;
        }
    }

    /// Whether the member is in this view and takes writes there.
    async fn heartbeat(self: &Rc<Self>, member: &Member, epoch: u64) -> bool {
        let reply = self.ask(member.peer, CoreRequest::Heartbeat { epoch }, HEARTBEAT_TIMEOUT).await;
        let Some(CoreReply::Epoch { epoch: theirs, sealed }) = reply else { return false };
        self.heard.borrow_mut().insert(member.identity.clone(), Instant::now());
        if theirs < epoch && self.epoch() == epoch {
            let state = self.state.borrow().clone();
            let install = CoreRequest::Install { view: self.view(), state };
            tokio::task::spawn_local({
                let (core, peer) = (self.clone(), member.peer);
                async move { core.ask(peer, install, HEARTBEAT_TIMEOUT).await }
            });
        }
        theirs == epoch && !sealed
    }

    /// Those who want to join must answer before they may.
    async fn hear_joiners(&self) {
        let joiners = self.fresh_joiners();
        let asked = joiners.iter().map(|joiner| async {
            let request = CoreRequest::Heartbeat { epoch: self.epoch() };
            let reply = self.ask(joiner.peer, request, HEARTBEAT_TIMEOUT).await;
            if matches!(reply, Some(CoreReply::Epoch { .. })) {
                self.heard.borrow_mut().insert(joiner.identity.clone(), Instant::now());
            }
        });
        join_all(asked).await;
    }

    fn fresh_joiners(&self) -> Vec<Member> {
        let mut joiners = self.joiners.borrow_mut();
        joiners.retain(|_, (_, at)| at.elapsed() < JOIN_HOLDS);
        joiners.values().map(|(member, _)| member.clone()).collect()
    }

    fn is_alive(&self, member: &Member) -> bool {
        member.identity == self.me.identity
            || self.heard.borrow().get(&member.identity).is_some_and(|at| at.elapsed() < LOST_AFTER)
    }

    /// A machine that counts and is in no view, or in an old one, asks the members that it knows of.
    async fn ask_to_join(self: Rc<Self>) {
        let known = self.known.view();
        let current = known.as_ref().map_or(0, |view| view.epoch).max(self.epoch());
        let in_current = self.epoch() == current && self.is_member() && current > 0;
        if !self.eligible || in_current || self.is_disk_in_trouble() {
            return;
        }
        let mut peers = match known {
            Some(view) if view.epoch >= self.epoch() => {
                view.members.iter().map(|member| member.peer).collect()
            }
            _ => self.settings.seed_peers(),
        };
        peers.retain(|peer| *peer != self.me.peer);
        let member = self.me.clone();
        let asked = peers
            .into_iter()
            .map(|peer| self.ask(peer, CoreRequest::Join { member: member.clone() }, HEARTBEAT_TIMEOUT));
        join_all(asked).await;
    }

    /// At the very first start: the seeds decide, one after the other trying.
    async fn form_first_view(self: &Rc<Self>, since_start: Duration) {
        let seeds = self.view().members;
        let Some(turn) = seeds.iter().position(|seed| seed.peer == self.me.peer) else { return };
        if since_start < FIRST_VIEW_TURN * turn as u32 {
            return;
        }
        let joiners = self.fresh_joiners();
        let (rules, me) = (self.rules, self.me.clone());
        self.propose(move |candidates| {
            let mut members: Vec<Member> = candidates.to_vec();
            members.sort_by_key(|member| seeds.iter().position(|seed| seed.peer == member.peer));
            let others = joiners.iter().filter(|joiner| {
                joiner.identity != me.identity
                    && !candidates.iter().any(|candidate| candidate.identity == joiner.identity)
            });
            members.extend(others.cloned());
            members.truncate(rules.most);
            (members.len() >= rules.fewest).then_some(View { epoch: 1, members })
        })
        .await;
    }

    /// Changes the view when a member is lost, a place is free, or a change was begun and not ended.
    async fn mend_view(self: &Rc<Self>) {
        let view = self.view();
        let Some(first_alive) = view.members.iter().position(|member| self.is_alive(member)) else { return };
        let own = view.position(&self.me.identity).unwrap_or(usize::MAX);
        let stuck = self
            .sealed_at
            .get()
            .is_some_and(|at| at.elapsed() > SEALED_TOO_LONG + HEARTBEAT_EVERY * own as u32);
        let joiners: Vec<Member> = match own == 0 {
            true => self.fresh_joiners().into_iter().filter(|joiner| self.is_alive(joiner)).collect(),
            false => Vec::new(),
        };
        let next = next_view(&view, |member| self.is_alive(member), &joiners, self.rules);
        let own_turn = first_alive == own && self.in_view_for() > LOST_AFTER / 2;
        let needed = own_turn && next.is_some();
        if !stuck && !needed {
            return;
        }
        let next = next.unwrap_or(View { epoch: view.epoch + 1, members: view.members });
        self.propose(move |_| Some(next.clone())).await;
    }
}
