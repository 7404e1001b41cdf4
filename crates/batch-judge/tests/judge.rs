//! Violates each rule once, and checks that permitted behavior is not reported.

use fennelgauge_batch_judge::{
    BatchJobChecker, Limits, ListedResult, Outcome, ResultPage, Rule, SubmittedItem, SubmittedJob,
};

const SECOND: u64 = 1_000_000;

fn checker_with_accepted_job() -> BatchJobChecker {
    let mut checker = BatchJobChecker::new(Limits {
        visibility_delay: SECOND,
        cancellation_grace: 3 * SECOND,
        max_queued_tokens: 30,
        items_may_be_given_up: true,
    });
    checker.record_submission(&job("j", &["a", "b"]));
    checker.record_acceptance(SECOND, "j");
    checker.record_item_output("a", "text of a");
    checker.record_item_output("a", "other text of a");
    checker.record_item_output("b", "text of b");
    checker
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
fn pages_are_compared_with_earlier_reads() {
    let first = page(0, &[listed("a", "text of a")]);
    let cases: Vec<(&str, ResultPage, Option<Rule>)> = vec![
        ("the same page", first.clone(), None),
        ("a further result", page(0, &[listed("a", "text of a"), listed("b", "text of b")]), None),
        ("an empty page past the end", page(1, &[]), None),
        ("the text of another run", page(0, &[listed("a", "other text of a")]), Some(Rule::Twice)),
        ("another item at the same position", page(0, &[listed("b", "text of b")]), Some(Rule::Twice)),
        ("an item at two positions", page(1, &[listed("a", "text of a")]), Some(Rule::Twice)),
        ("a result that was read is missing", page(0, &[]), Some(Rule::Lost)),
        ("a truncated text", page(1, &[listed("b", "text")]), Some(Rule::Mixed)),
        ("an item of another job", page(1, &[listed("z", "text")]), Some(Rule::Mixed)),
        ("a wrong total", ResultPage { total: 3, ..first.clone() }, Some(Rule::Mixed)),
    ];
    for (name, second, expected) in cases {
        let mut checker = checker_with_accepted_job();
        checker.check_page(2 * SECOND, 2 * SECOND, "j", &first, "reader");
        checker.check_page(5 * SECOND, 5 * SECOND, "j", &second, "reader");
        let found: Vec<Rule> = checker.violations.iter().map(|violation| violation.rule).collect();
        assert_eq!(found, Vec::from_iter(expected), "{name}");
    }
}

#[test]
fn accepted_jobs_must_be_found_and_completed() {
    let mut early = checker_with_accepted_job();
    early.check_not_found(SECOND + SECOND / 2, 9 * SECOND, "j", "reader");
    early.check_not_found(9 * SECOND, 9 * SECOND, "unknown", "reader");
    assert!(early.violations.is_empty());
    early.check_not_found(3 * SECOND, 3 * SECOND, "j", "reader");
    assert_eq!(early.violations[0].rule, Rule::Lost);
    let mut open = checker_with_accepted_job();
    open.check_completeness(9 * SECOND);
    assert_eq!(open.violations[0].rule, Rule::Unfinished);
    let mut ended = checker_with_accepted_job();
    ended.record_cancel_request("j");
    ended.check_completeness(9 * SECOND);
    assert!(ended.violations.is_empty() && ended.is_complete("j"));
}

#[test]
fn cancelled_items_must_not_run_and_quota_is_checked_at_acceptance() {
    let mut checker = checker_with_accepted_job();
    checker.record_cancelled(2 * SECOND, "j");
    checker.record_item_start(4 * SECOND, "a");
    assert!(checker.violations.is_empty());
    checker.record_item_start(6 * SECOND, "a");
    assert_eq!(checker.violations[0].rule, Rule::Unasked);
    checker.violations.clear();
    checker.record_submission(&job("k", &["k0", "k1", "k2"]));
    checker.record_acceptance(SECOND, "k");
    assert!(checker.violations.is_empty(), "items that servers completed do not count as queued");
    checker.record_submission(&job("l", &["l0"]));
    checker.record_acceptance(SECOND, "l");
    assert_eq!(checker.violations[0].rule, Rule::Quota);
}
