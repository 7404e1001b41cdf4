//! What was seen of one batch job.

use std::collections::BTreeMap;

use crate::{Micros, ResultPage, Rule};

/// An item as a client sent it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SubmittedItem {
    pub id: String,
    pub tokens: u64,
}

/// A batch job as a client sent it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SubmittedJob {
    pub id: String,
    pub tenant: String,
    pub items: Vec<SubmittedItem>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Succeeded,
    DeadLettered,
}

/// A result as a reader got it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedResult {
    pub item: String,
    pub outcome: Outcome,
    pub text: String,
}

#[derive(Clone, Debug)]
pub(crate) struct JobSeen {
    pub sent: SubmittedJob,
    /// Tokens that its tenant might have queued when it was first sent.
    pub most_queued: u64,
    pub accepted: Option<Micros>,
    pub end_asked: bool,
    pub ended: Option<Micros>,
    /// When it was given up with all that its group held.
    pub given_up: Option<Micros>,
    /// By position, with when it was first read.
    pub listed: BTreeMap<usize, (ListedResult, Micros)>,
    /// Texts of whole runs, by item.
    pub outputs: BTreeMap<String, Vec<String>>,
}

impl JobSeen {
    pub fn new(sent: SubmittedJob, most_queued: u64) -> Self {
        Self {
            sent,
            most_queued,
            accepted: None,
            end_asked: false,
            ended: None,
            given_up: None,
            listed: BTreeMap::new(),
            outputs: BTreeMap::new(),
        }
    }

    /// Tokens of items that no server has finished.
    pub fn queued(&self) -> u64 {
        if self.accepted.is_none() || self.end_asked || self.given_up.is_some() {
            return 0;
        }
        let waiting = self.sent.items.iter().filter(|item| !self.outputs.contains_key(&item.id));
        waiting.map(|item| item.tokens).sum()
    }

    /// Compares a page with all that was read before; gives what is wrong.
    pub fn take_page(
        &mut self,
        asked: Micros,
        at: Micros,
        page: &ResultPage,
        settle: Micros,
    ) -> Vec<(Rule, String)> {
        let mut broken = Vec::new();
        if self.given_up.is_some_and(|given_up| asked > given_up + settle) {
            broken.push((Rule::GivenUp, "was given up, and is shown".to_owned()));
        }
        if page.total != self.sent.items.len() {
            broken.push((Rule::Mixed, format!("total is {}, not {}", page.total, self.sent.items.len())));
        }
        let was_read = self.listed.get(&page.start).is_some_and(|(_, first)| asked > first + settle);
        if page.results.is_empty() && was_read {
            broken.push((Rule::Lost, format!("nothing stands at position {} any more", page.start)));
        }
        for (place, result) in page.results.iter().enumerate() {
            broken.extend(self.take_result(at, page.start + place, result));
        }
        broken
    }

    fn take_result(&mut self, at: Micros, position: usize, result: &ListedResult) -> Option<(Rule, String)> {
        if !self.sent.items.iter().any(|item| item.id == result.item) {
            return Some((
                Rule::Mixed,
                format!("position {position} holds {}, not an item of it", result.item),
            ));
        }
        if let Some((before, _)) = self.listed.get(&position) {
            return (before != result).then(|| {
                (Rule::Twice, format!("position {position} holds another result than before: {result:?}"))
            });
        }
        let elsewhere = self.listed.iter().find(|(_, (listed, _))| listed.item == result.item);
        if let Some((first, _)) = elsewhere {
            return Some((Rule::Twice, format!("{} stands at {first} and {position}", result.item)));
        }
        let outputs = self.outputs.get(&result.item);
        let is_whole = outputs.is_some_and(|outputs| outputs.contains(&result.text));
        if result.outcome == Outcome::Succeeded && !is_whole {
            return Some((Rule::Mixed, format!("{} has a text that no run gave", result.item)));
        }
        self.listed.insert(position, (result.clone(), at));
        None
    }
}
