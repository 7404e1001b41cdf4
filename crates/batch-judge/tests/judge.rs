//! Violates each rule once, and checks that permitted behavior is not reported.

use fennelgauge_batch_judge::{
    BatchJobChecker, Limits, ListedResult, Outcome, ResultPage, RouteTerms, Routes, Rule, SubmittedItem,
    SubmittedJob,
};

const SECOND: u64 = 1_000_000;

fn checker_with_accepted_job() -> BatchJobChecker {
    let mut checker = BatchJobChecker::new(Limits {
        visibility_delay: SECOND,
        cancellation_grace: 3 * SECOND,
        max_queued_tokens: 30,
        items_may_be_given_up: false,
        route_end_grace: 2 * SECOND,
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
    SubmittedJob {
        id: id.into(),
        tenant: "t".into(),
        route: "r".into(),
        submitted_at: SECOND,
        items: items.iter().map(item).collect(),
    }
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

fn rules(checker: &BatchJobChecker) -> Vec<Rule> {
    checker.violations.iter().map(|violation| violation.rule).collect()
}

/// Returns a configuration in which the job's route has this retention in seconds and these retries.
fn route(retention: u64, retries: usize) -> Routes {
    Routes::from([("r".to_owned(), RouteTerms { retention: Some(retention * SECOND), retries })])
}

/// The job is submitted at 1 s; its item `a` is read as given up at 20 s.
#[test]
fn an_item_may_be_given_up_only_for_a_cause_that_there_was_at_some_moment() {
    type Prepare = fn(&mut BatchJobChecker);
    let cases: [(&str, Prepare, bool); 12] = [
        ("no cause", |checker| checker.record_configuration(0, route(30, 2)), false),
        ("its time is up", |checker| checker.record_configuration(0, route(19, 2)), true),
        ("its time is not quite up", |checker| checker.record_configuration(0, route(20, 2)), false),
        (
            "rejected by a server",
            |checker| {
                checker.record_configuration(0, route(30, 2));
                checker.record_item_rejection("a");
            },
            true,
        ),
        (
            "failed often enough",
            |checker| {
                checker.record_configuration(0, route(30, 2));
                checker.record_item_failure(2 * SECOND, "a");
                checker.record_item_failure(3 * SECOND, "a");
            },
            true,
        ),
        (
            "failed once less",
            |checker| {
                checker.record_configuration(0, route(30, 2));
                checker.record_item_failure(2 * SECOND, "a");
                checker.record_item_failure(3 * SECOND, "b");
            },
            false,
        ),
        (
            "failed often enough only after the retries were raised",
            |checker| {
                checker.record_configuration(0, route(30, 1));
                checker.record_configuration(2 * SECOND, route(30, 2));
                checker.record_item_failure(3 * SECOND, "a");
            },
            false,
        ),
        (
            "the retention was raised before it was over",
            |checker| {
                checker.record_configuration(0, route(5, 2));
                checker.record_configuration(5 * SECOND, route(30, 2));
            },
            false,
        ),
        (
            "the retention was raised after it was over",
            |checker| {
                checker.record_configuration(0, route(5, 2));
                checker.record_configuration(7 * SECOND, route(30, 2));
            },
            true,
        ),
        (
            "the route ended",
            |checker| {
                checker.record_configuration(0, route(30, 2));
                checker.record_configuration(5 * SECOND, Routes::new());
            },
            true,
        ),
        (
            "the route ended and was added again",
            |checker| {
                checker.record_configuration(0, route(30, 2));
                checker.record_configuration(5 * SECOND, Routes::new());
                checker.record_configuration(6 * SECOND, route(30, 2));
            },
            true,
        ),
        (
            "the route was added again before the submission",
            |checker| {
                checker.record_configuration(0, Routes::new());
                checker.record_configuration(SECOND, route(30, 2));
            },
            false,
        ),
    ];
    for (case, prepare, has_cause) in cases {
        let mut checker = checker_with_accepted_job();
        prepare(&mut checker);
        let given_up = ListedResult { outcome: Outcome::DeadLettered, ..listed("a", "") };
        let page = page(0, &[given_up]);
        checker.check_page(19 * SECOND, 20 * SECOND, "j", &page, "a reader");
        checker.check_page(39 * SECOND, 40 * SECOND, "j", &page, "a reader");
        let expected: &[Rule] = if has_cause { &[] } else { &[Rule::Mixed] };
        assert_eq!(rules(&checker), expected, "{case}");
    }
}

#[test]
fn items_of_an_ended_route_are_not_started_by_stores_in_touch() {
    let mut checker = checker_with_accepted_job();
    checker.record_configuration(0, route(30, 2));
    checker.check_route_of_start(2 * SECOND, "a");
    checker.record_configuration(3 * SECOND, Routes::new());
    checker.record_configuration(4 * SECOND, Routes::new());
    checker.check_route_of_start(5 * SECOND, "a");
    assert_eq!(rules(&checker), []);
    checker.check_route_of_start(6 * SECOND, "a");
    assert_eq!(rules(&checker), [Rule::Config]);
    checker.record_configuration(7 * SECOND, route(30, 2));
    checker.check_route_of_start(20 * SECOND, "a");
    assert_eq!(rules(&checker), [Rule::Config], "added again");
}

/// The job is submitted at 1 s; its item `a` starts at 20 s. Configurations follow each other each 2 s, the first one at 0 s.
#[test]
fn an_item_must_not_start_again_after_too_many_failures_or_rejections() {
    let cases: [(&str, &[Routes], usize, usize, bool); 8] = [
        ("never failed", &[route(30, 2)], 0, 0, true),
        ("one failure less than three times the retries", &[route(30, 2)], 5, 0, true),
        ("three times the retries", &[route(30, 2)], 6, 0, false),
        ("the retries were raised", &[route(30, 1), route(30, 2)], 5, 0, true),
        ("the retries were lowered", &[route(30, 2), route(30, 1)], 5, 0, true),
        ("too often by any configuration", &[route(30, 2), route(30, 1)], 6, 0, false),
        ("rejected twice", &[route(30, 9)], 0, 2, true),
        ("rejected three times", &[route(30, 9)], 0, 3, false),
    ];
    for (case, configurations, failures, rejections, is_allowed) in cases {
        let mut checker = checker_with_accepted_job();
        for (index, routes) in configurations.iter().enumerate() {
            checker.record_configuration(index as u64 * 2 * SECOND, routes.clone());
        }
        for _ in 0..failures {
            checker.record_item_failure(10 * SECOND, "a");
        }
        for _ in 0..rejections {
            checker.record_item_rejection("a");
        }
        checker.record_item_start(20 * SECOND, "b");
        checker.record_item_start(20 * SECOND, "a");
        let expected: &[Rule] = if is_allowed { &[] } else { &[Rule::Budget] };
        assert_eq!(rules(&checker), expected, "{case}");
    }
}

/// A data plane may not know yet that the configuration by which it takes a job was replaced.
#[test]
fn retries_that_were_lowered_shortly_before_the_submission_still_bound_the_attempts() {
    for (lowered_before, expected) in [(2 * SECOND - 1, [].as_slice()), (2 * SECOND, &[Rule::Budget])] {
        let mut checker = checker_with_accepted_job();
        let submitted_at = 10 * SECOND;
        checker.record_configuration(0, route(30, 2));
        checker.record_configuration(submitted_at - lowered_before, route(30, 1));
        checker.record_submission(&SubmittedJob { submitted_at, ..job("k", &["c"]) });
        for _ in 0..3 {
            checker.record_item_failure(11 * SECOND, "c");
        }
        checker.record_item_start(12 * SECOND, "c");
        assert_eq!(rules(&checker), expected, "lowered {lowered_before} us before");
    }
}

#[test]
fn items_of_a_job_that_was_only_refused_must_not_run_before_or_after() {
    let mut refused = checker_with_accepted_job();
    refused.record_submission(&job("k", &["c", "d"]));
    refused.record_refusal(2 * SECOND, "k");
    refused.check_refusal_of_start(3 * SECOND, "a");
    assert_eq!(rules(&refused), [], "an item of an accepted job starts");
    refused.check_refusal_of_start(3 * SECOND, "c");
    assert_eq!(rules(&refused), [Rule::Refused]);
    let mut again = checker_with_accepted_job();
    again.record_submission(&job("k", &["c", "d"]));
    again.record_refusal(2 * SECOND, "k");
    again.record_submission(&job("k", &["c", "d"]));
    again.check_refusal_of_start(3 * SECOND, "c");
    assert_eq!(rules(&again), [], "a further submission may be accepted");
    let mut started = checker_with_accepted_job();
    started.record_submission(&job("k", &["c", "d"]));
    started.check_refusal_of_start(2 * SECOND, "d");
    assert_eq!(rules(&started), []);
    started.record_refusal(3 * SECOND, "k");
    assert_eq!(rules(&started), [Rule::Refused], "it had started before the refusal");
}
