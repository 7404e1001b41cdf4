//! Deciding the next view: this machine as acceptor and as proposer.

use std::rc::Rc;
use std::time::Duration;

use fennelgauge_coordination::{
    AcceptReply, Acceptor, Ballot, Member, PrepareReply, Proposal, Proposer, StateVersion, Step, View,
};
use fennelgauge_wire::{CoreReply, CoreRequest};
use futures_util::stream::{FuturesUnordered, StreamExt};
use tokio::time::{timeout, Instant};

use super::Core;

const ANSWER_TIMEOUT: Duration = Duration::from_millis(700);
/// After a majority has promised, the others may still do so for so long before the very first view.
const FIRST_VIEW_WAIT: Duration = Duration::from_millis(300);

impl Core {
    pub(super) async fn prepare_here(&self, epoch: u64, ballot: &Ballot) -> PrepareReply {
        let _durable = self.durable.lock().await;
        self.highest_round.set(self.highest_round.get().max(ballot.round));
        if self.view().members.is_empty() {
            return PrepareReply::Behind(self.epoch());
        }
        let candidate = self.eligible.then(|| self.me.clone());
        let state = self.state.borrow().clone();
        let reply = self.acceptor.borrow_mut().prepare(epoch, ballot, &state, candidate);
        if matches!(reply, PrepareReply::Promised(_)) {
            self.sealed_at.set(Some(Instant::now()));
            if !self.persist_record().await {
                return PrepareReply::Behind(0);
            }
        }
        reply
    }

    pub(super) async fn accept_here(&self, epoch: u64, ballot: &Ballot, proposal: &Proposal) -> AcceptReply {
        let _durable = self.durable.lock().await;
        if self.view().members.is_empty() {
            return AcceptReply::Behind(self.epoch());
        }
        let reply = self.acceptor.borrow_mut().accept(epoch, ballot, proposal);
        if reply == AcceptReply::Accepted {
            self.sealed_at.set(Some(Instant::now()));
            if !self.persist_record().await {
                return AcceptReply::Behind(0);
            }
        }
        reply
    }

    /// Takes up a decided view with the state it begins with, first on disk. Older views are left alone.
    pub(super) async fn install(&self, view: View, state: StateVersion) -> bool {
        let _durable = self.durable.lock().await;
        if view.epoch <= self.epoch() || view.position(&self.me.identity).is_none() {
            return false;
        }
        let state = StateVersion { epoch: view.epoch, ..state };
        if !self.persist_state(&state).await {
            return false;
        }
        let before = self.acceptor.replace(Acceptor::new(view.clone()));
        if !self.persist_record().await {
            self.acceptor.replace(before);
            return false;
        }
        log::info!("view {} with {} members", view.epoch, view.members.len());
        self.committed.set(state.order());
        self.take_state(state);
        self.sealed_at.set(None);
        self.installed_at.set(Instant::now());
        let mut heard = self.heard.borrow_mut();
        for member in &view.members {
            heard.insert(member.identity.clone(), Instant::now());
        }
        drop(heard);
        self.publish();
        true
    }

    /// One attempt to decide the next view; `wanted` makes it of the machines that promised.
    pub(super) async fn propose(self: &Rc<Self>, wanted: impl Fn(&[Member]) -> Option<View>) {
        if self.proposing.replace(true) {
            return;
        }
        self.attempt(wanted).await;
        self.proposing.set(false);
    }

    async fn attempt(self: &Rc<Self>, wanted: impl Fn(&[Member]) -> Option<View>) {
        let view = self.view();
        self.highest_round.set(self.highest_round.get() + 1);
        let ballot = Ballot { round: self.highest_round.get(), proposer: self.me.identity.clone() };
        let mut proposer = Proposer::new(view.clone(), ballot.clone());
        if !self.collect_promises(&view, &mut proposer).await {
            return;
        }
        let Some(next) = wanted(&proposer.candidates()) else { return };
        let proposal = proposer.propose(next);
        if let Some(decided) = self.collect_acceptances(&view, &mut proposer, &proposal).await {
            self.install_everywhere(decided).await;
        }
    }

    async fn collect_promises(self: &Rc<Self>, view: &View, proposer: &mut Proposer) -> bool {
        let ballot = proposer.ballot().clone();
        let mut answers: FuturesUnordered<_> = view
            .members
            .iter()
            .enumerate()
            .map(|(position, member)| {
                let ballot = ballot.clone();
                async move { (position, self.ask_to_promise(member, view.epoch, ballot).await) }
            })
            .collect();
        let mut enough = false;
        loop {
            let next = match enough && view.epoch == 0 {
                true => timeout(FIRST_VIEW_WAIT, answers.next()).await.unwrap_or(None),
                false => answers.next().await,
            };
            let Some((position, reply)) = next else { return enough };
            let Some(reply) = reply else { continue };
            match proposer.promised(position, reply) {
                Step::Propose if view.epoch == 0 => enough = true,
                Step::Propose => return true,
                Step::Lost { round } => {
                    self.highest_round.set(self.highest_round.get().max(round));
                    return false;
                }
                Step::Wait | Step::Decided(_) => {}
            }
        }
    }

    async fn ask_to_promise(&self, member: &Member, epoch: u64, ballot: Ballot) -> Option<PrepareReply> {
        if member.peer == self.me.peer {
            return Some(self.prepare_here(epoch, &ballot).await);
        }
        match self.ask(member.peer, CoreRequest::Prepare { epoch, ballot }, ANSWER_TIMEOUT).await? {
            CoreReply::Prepared(reply) => Some(reply),
            _ => None,
        }
    }

    async fn collect_acceptances(
        self: &Rc<Self>,
        view: &View,
        proposer: &mut Proposer,
        proposal: &Proposal,
    ) -> Option<Proposal> {
        let ballot = proposer.ballot().clone();
        let mut answers: FuturesUnordered<_> = view
            .members
            .iter()
            .enumerate()
            .map(|(position, member)| {
                let ballot = ballot.clone();
                async move { (position, self.ask_to_accept(member, view.epoch, ballot, proposal).await) }
            })
            .collect();
        while let Some((position, reply)) = answers.next().await {
            let Some(reply) = reply else { continue };
            match proposer.accepted(position, reply) {
                Step::Decided(decided) => return Some(decided),
                Step::Lost { round } => {
                    self.highest_round.set(self.highest_round.get().max(round));
                    return None;
                }
                Step::Wait | Step::Propose => {}
            }
        }
        None
    }

    async fn ask_to_accept(
        &self,
        member: &Member,
        epoch: u64,
        ballot: Ballot,
        proposal: &Proposal,
    ) -> Option<AcceptReply> {
        if member.peer == self.me.peer {
            return Some(self.accept_here(epoch, &ballot, proposal).await);
        }
        let request = CoreRequest::Accept { epoch, ballot, proposal: proposal.clone() };
        match self.ask(member.peer, request, ANSWER_TIMEOUT).await? {
            CoreReply::Accepted(reply) => Some(reply),
            _ => None,
        }
    }

    /// Brings a decision to its members; whom it does not reach gets it with a later heartbeat.
    async fn install_everywhere(self: &Rc<Self>, decided: Proposal) {
        let others = decided.view.members.iter().filter(|member| member.peer != self.me.peer);
        let asked = others.map(|member| {
            let request = CoreRequest::Install { view: decided.view.clone(), state: decided.state.clone() };
            self.ask(member.peer, request, ANSWER_TIMEOUT)
        });
        let asked = futures_util::future::join_all(asked);
        let own = self.install(decided.view.clone(), decided.state.clone());
        let (_, _) = futures_util::future::join(own, asked).await;
        self.known.take_view(&decided.view);
    }
}
