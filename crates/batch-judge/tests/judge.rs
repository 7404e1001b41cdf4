//! Each rule, broken once, and what does not break it.

use fennelgauge_batch_judge::{
    BatchJobChecker, Limits, ListedResult, Outcome, ResultPage, Rule, SubmittedItem, SubmittedJob,
};

const SECOND: u64 = 1_000_000;

fn judge() -> BatchJobChecker {
    let mut judge = BatchJobChecker::new(Limits {
        visibility_delay: SECOND,
        cancellation_grace: 3 * SECOND,
        max_queued_tokens: 30,
    });
    judge.record_submission(&job("j", &["a", "b"]));
    judge.record_acceptance(SECOND, "j");
    judge.record_item_output("a", "text of a");
    judge.record_item_output("a", "other text of a");
    judge.record_item_output("b", "text of b");
    judge
}

fn job(id: &str, items: &[&str]) -> SubmittedJob {
    let item = |id: &&str| SubmittedItem { id: id.to_string(), tokens: 10 };
    SubmittedJob { id: id.into(), tenant: "t".into(), items: items.iter().map(item).collect() }
}

fn listed(item: &str, text: &str) -> ListedResult {
    ListedResult { item: item.into(), outcome: Outcome::Succeeded, text: text.into() }
}

fn page(start: usize, results: &[ListedResult]) -> ResultPage {
    ResultPage { start, total: 2, results: results.to_vec() }
}

#[test]
fn pages_are_compared_with_all_that_was_read() {
    let first = page(0, &[listed("a", "text of a")]);
    let cases: Vec<(&str, ResultPage, Option<Rule>)> = vec![
        ("the same", first.clone(), None),
        ("more", page(0, &[listed("a", "text of a"), listed("b", "text of b")]), None),
        ("nothing new", page(1, &[]), None),
        ("another run's text", page(0, &[listed("a", "other text of a")]), Some(Rule::Twice)),
        ("another item", page(0, &[listed("b", "text of b")]), Some(Rule::Twice)),
        ("twice", page(1, &[listed("a", "text of a")]), Some(Rule::Twice)),
        ("gone", page(0, &[]), Some(Rule::Lost)),
        ("half a text", page(1, &[listed("b", "text")]), Some(Rule::Mixed)),
        ("a foreign item", page(1, &[listed("z", "text")]), Some(Rule::Mixed)),
        ("a wrong total", ResultPage { total: 3, ..first.clone() }, Some(Rule::Mixed)),
    ];
    for (name, second, expected) in cases {
        let mut judge = judge();
        judge.check_page(2 * SECOND, 2 * SECOND, "j", &first, "reader");
        judge.check_page(5 * SECOND, 5 * SECOND, "j", &second, "reader");
        let found: Vec<Rule> = judge.violations.iter().map(|broken| broken.rule).collect();
        assert_eq!(found, Vec::from_iter(expected), "{name}");
    }
}

#[test]
fn what_was_accepted_is_found_and_finished() {
    let mut early = judge();
    early.check_not_found(SECOND + SECOND / 2, 9 * SECOND, "j", "reader");
    early.check_not_found(9 * SECOND, 9 * SECOND, "unknown", "reader");
    assert!(early.violations.is_empty());
    early.check_not_found(3 * SECOND, 3 * SECOND, "j", "reader");
    assert_eq!(early.violations[0].rule, Rule::Lost);
    let mut open = judge();
    open.check_completeness(9 * SECOND);
    assert_eq!(open.violations[0].rule, Rule::Unfinished);
    let mut ended = judge();
    ended.record_cancel_request("j");
    ended.check_completeness(9 * SECOND);
    assert!(ended.violations.is_empty() && ended.is_complete("j"));
}

#[test]
fn nothing_runs_after_its_end_and_quotas_hold_at_each_202() {
    let mut judge = judge();
    judge.record_cancelled(2 * SECOND, "j");
    judge.record_item_start(4 * SECOND, "a");
    assert!(judge.violations.is_empty());
    judge.record_item_start(6 * SECOND, "a");
    assert_eq!(judge.violations[0].rule, Rule::Unasked);
    judge.violations.clear();
    judge.record_submission(&job("k", &["k0", "k1", "k2"]));
    judge.record_acceptance(SECOND, "k");
    assert!(judge.violations.is_empty(), "what servers have finished does not count");
    judge.record_submission(&job("l", &["l0"]));
    judge.record_acceptance(SECOND, "l");
    assert_eq!(judge.violations[0].rule, Rule::Quota);
}
