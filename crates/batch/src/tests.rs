use super::*;

fn job(id: &str, tenant: &str, tokens: &[u64]) -> Job {
    let item = |(index, tokens): (usize, &u64)| Item {
        id: format!("{id}-{index}"),
        path: "/p/1".to_owned(),
        headers: vec![],
        body: vec![index as u8; 3],
        tokens: *tokens,
    };
    Job {
        id: id.to_owned(),
        tenant: tenant.to_owned(),
        route: "r".to_owned(),
        host: "h".to_owned(),
        received_ms: 0,
        generation: 0,
        limits: Default::default(),
        items: tokens.iter().enumerate().map(item).collect(),
    }
}

fn result(item: u32, text: &str) -> ItemResult {
    ItemResult { item_index: item, outcome: ItemOutcome::Succeeded, text: text.to_owned() }
}

fn record_results(job: &str, results: Vec<ItemResult>) -> Command {
    Command::RecordResults { job: job.to_owned(), results }
}

fn cancel(job: &str) -> Command {
    Command::Cancel { job: job.to_owned() }
}

#[test]
fn queued_token_count_follows_every_command() {
    let steps: Vec<(&str, Command, u64)> = vec![
        ("job accepted", Command::Accept(job("j", "t", &[10, 20, 30])), 60),
        ("same job accepted twice", Command::Accept(job("j", "t", &[10, 20, 30])), 60),
        ("job of another tenant", Command::Accept(job("k", "u", &[5])), 60),
        ("result recorded", record_results("j", vec![result(1, "x")]), 40),
        ("second result for the same item", record_results("j", vec![result(1, "y")]), 40),
        ("result for an unknown item", record_results("j", vec![result(9, "y")]), 40),
        ("result for an unknown job", record_results("z", vec![result(0, "y")]), 40),
        ("job cancelled", cancel("j"), 0),
        ("job cancelled twice", cancel("j"), 0),
        ("result after the cancellation", record_results("j", vec![result(0, "z")]), 0),
        ("cancelled job accepted again", Command::Accept(job("j", "t", &[10, 20, 30])), 0),
        ("another job accepted", Command::Accept(job("l", "t", &[7])), 7),
        ("job removed", Command::Remove { job: "l".to_owned() }, 0),
        ("cancelled job removed", Command::Remove { job: "j".to_owned() }, 0),
    ];
    let mut state = GroupState::default();
    for (name, command, queued) in steps {
        state.apply(command);
        assert_eq!(state.queued_tokens("t", "r"), queued, "{name}");
    }
    assert_eq!(state.queued_tokens("u", "r"), 5);
}

#[test]
fn admission_counts_tokens_already_queued() {
    let mut state = GroupState::default();
    state.apply(Command::Accept(job("j", "t", &[10, 20])));
    let cases = [
        (job("k", "t", &[10]), 40, Admission::Admitted),
        (job("k", "t", &[11]), 40, Admission::OverQuota { queued: 30, limit: 40 }),
        (job("k", "u", &[40]), 40, Admission::Admitted),
        (job("k", "t", &[1_000]), 0, Admission::Admitted),
        (job("j", "t", &[1_000]), 40, Admission::AlreadyAccepted),
    ];
    for (job, limit, expected) in cases {
        assert_eq!(state.check_admission(&job, limit), expected, "{} {}", job.id, job.tenant);
    }
}

#[test]
fn position_of_a_result_never_changes() {
    let mut state = GroupState::default();
    state.apply(Command::Accept(job("j", "t", &[1, 1, 1])));
    state.apply(record_results("j", vec![result(2, "two"), result(0, "zero")]));
    state.apply(record_results("j", vec![result(2, "other"), result(1, "one")]));
    let page = state.results_page("t", "j", 0).expect("page");
    let read: Vec<(&str, &str)> =
        page.results.iter().map(|(id, result)| (id.as_str(), result.text.as_str())).collect();
    assert_eq!(read, [("j-2", "two"), ("j-0", "zero"), ("j-1", "one")]);
    assert_eq!((page.total_items, page.next_position, page.is_complete), (3, 3, true));
    assert_eq!(state.results_page("t", "j", 2).expect("page").results.len(), 1);
    assert!(state.results_page("u", "j", 0).is_none(), "job of another tenant");
}

#[test]
fn page_is_limited_in_size_but_holds_at_least_one_result() {
    let mut state = GroupState::default();
    state.apply(Command::Accept(job("j", "t", &[1, 1])));
    let long = "x".repeat(MAX_PAGE_TEXT_BYTES + 1);
    state.apply(record_results("j", vec![result(0, &long), result(1, &long)]));
    let page = state.results_page("t", "j", 0).expect("page");
    assert_eq!((page.results.len(), page.next_position), (1, 1));
}

#[test]
fn bodies_are_readable_until_the_result_or_the_cancellation() {
    let mut state = GroupState::default();
    state.apply(Command::Accept(job("j", "t", &[1, 1])));
    assert_eq!(state.unfinished_item_body("t", "j", "j-1"), Some([1, 1, 1].as_slice()));
    assert_eq!(state.unfinished_item_body("u", "j", "j-1"), None);
    state.apply(record_results("j", vec![result(1, "x")]));
    assert_eq!(state.unfinished_item_body("t", "j", "j-1"), None);
    state.apply(cancel("j"));
    assert_eq!(state.unfinished_item_body("t", "j", "j-0"), None);
}

#[test]
fn malformed_jobs_are_rejected_with_item_and_reason() {
    let mut duplicate_id = job("j", "t", &[1, 1]);
    duplicate_id.items[1].id = "j-0".to_owned();
    let mut empty_id = job("j", "t", &[1]);
    empty_id.items[0].id = String::new();
    let mut path_outside_route = job("j", "t", &[1]);
    path_outside_route.items[0].path = "/q/1".to_owned();
    let cases = [
        (job("", "t", &[1]), Err(JobError::MissingId)),
        (job("j", "t", &[]), Err(JobError::ItemCount(0))),
        (job("j", "t", &[1; 201]), Err(JobError::ItemCount(201))),
        (duplicate_id, Err(JobError::DuplicateItem("j-0".to_owned()))),
        (empty_id, Err(JobError::EmptyItemId(0))),
        (path_outside_route, Err(JobError::PathOutsideRoute("j-0".to_owned()))),
        (job("j", "t", &[1; 200]), Ok(())),
    ];
    for (job, expected) in cases {
        assert_eq!(job.validate("/p/"), expected);
    }
}

const NOW_MS: u64 = 1_000;

/// Returns the next step of an item of a job that configuration 7 accepted, for a store that knows another configuration.
fn step(generation: u64, is_confirmed: bool, route: RouteStatus, failures: u32) -> ItemStep {
    let accepted = Job { generation: 7, ..job("j", "t", &[1]) };
    let past = ItemPast { attempts: attempts(failures, 0), has_rested: false };
    accepted.next_item_step(KnownConfiguration { generation, is_confirmed }, route, past, NOW_MS)
}

fn attempts(failures: u32, open_permits: u32) -> Attempts {
    Attempts { failures, open_permits, has_responded: false }
}

fn in_force(expires_ms: Option<u64>) -> RouteStatus {
    RouteStatus::InForce { expires_ms, failures: FailureLimits::new(2, 2, false) }
}

/// Guards against items that are given up because a store does not know a route yet that was added after its configuration.
#[test]
fn items_of_a_route_that_the_store_does_not_know_yet_wait_for_its_configuration() {
    let cases = [
        ("older configuration, no route", 6, RouteStatus::Absent, ItemStep::AwaitConfiguration),
        ("older configuration, another route", 6, in_force(None), ItemStep::AwaitConfiguration),
        ("older configuration, time is up", 6, in_force(Some(NOW_MS - 1)), ItemStep::AwaitConfiguration),
        ("the job's configuration", 7, in_force(None), ItemStep::Run),
        ("later configuration", 8, in_force(Some(NOW_MS)), ItemStep::Run),
    ];
    for (name, generation, route, expected) in cases {
        assert_eq!(step(generation, false, route, 0), expected, "{name}");
    }
}

/// Guards against items that are given up by a configuration that was replaced: the route was added again, or changed.
#[test]
fn items_are_given_up_only_by_a_configuration_that_the_core_confirms() {
    let expired = in_force(Some(NOW_MS - 1));
    let cases = [
        ("the job's configuration, no route", 7, RouteStatus::Absent, 0),
        ("later configuration, no route: it may have been added again", 8, RouteStatus::Absent, 0),
        ("time is up: the retention may have been raised", 8, expired, 0),
        ("failed too often: the retries may have been raised", 8, in_force(None), 2),
    ];
    for (name, generation, route, failures) in cases {
        assert_eq!(step(generation, false, route, failures), ItemStep::AwaitConfiguration, "{name}");
        assert_eq!(step(generation, true, route, failures), ItemStep::DeadLetter, "{name}, confirmed");
    }
}

/// Guards against items that wait for ever: their configuration was lost with the core's disks, and generations start over.
#[test]
fn items_go_by_a_confirmed_configuration_although_its_generation_is_lower() {
    assert_eq!(step(1, true, in_force(None), 0), ItemStep::Run);
    assert_eq!(step(1, true, RouteStatus::Absent, 0), ItemStep::DeadLetter);
}

/// Guards against items that are given up sooner than their job was accepted with, or than the route allows now.
#[test]
fn an_item_may_be_given_up_only_where_both_limits_allow_it() {
    let limits = |retention_ms, retries| ItemLimits { retention_ms, retries };
    let cases = [
        (limits(Some(1), 3), limits(Some(2), 2), limits(Some(2), 3)),
        (limits(Some(2), 2), limits(Some(1), 3), limits(Some(2), 3)),
        (limits(None, 1), limits(Some(1), 1), limits(None, 1)),
        (limits(Some(1), 1), limits(None, 1), limits(None, 1)),
    ];
    for (accepted, newest, expected) in cases {
        assert_eq!(accepted.union(newest), expected, "{accepted:?}, {newest:?}");
    }
}

/// Guards against items that are given up before a server failed them `retries` times, or sent again after three times that, or
/// after three rejections, however the outcomes of attempts were lost.
#[test]
fn failures_and_unknown_outcomes_decide_whether_an_item_is_given_up_or_sent_again() {
    const RESPONDED: bool = true;
    const RESTED: bool = true;
    use ItemStep::{DeadLetter, Rest, Run};
    let cases = [
        ("never tried", 2, 2, attempts(0, 0), false, Run),
        ("failed once less", 2, 2, attempts(1, 0), false, Run),
        ("failed often enough, patient", 2, 2, attempts(2, 0), false, Run),
        ("failed twice as often", 2, 2, attempts(4, 0), false, DeadLetter),
        ("failed often enough, an outcome is unknown", 2, 2, attempts(2, 1), false, DeadLetter),
        ("two outcomes are unknown", 2, 2, attempts(0, 2), false, Run),
        ("three outcomes are unknown", 2, 2, attempts(0, 3), false, Rest),
        ("three outcomes are unknown, rested", 2, 2, attempts(0, 3), RESTED, Run),
        ("five outcomes are unknown, rested", 2, 2, attempts(0, 5), RESTED, Run),
        ("six outcomes are unknown, rested", 2, 2, attempts(0, 6), RESTED, Rest),
        ("three outcomes are unknown and three are the bound, rested", 1, 1, attempts(0, 3), RESTED, Rest),
        ("two known failures, three outcomes are unknown", 3, 3, attempts(2, 3), false, Rest),
        ("two known failures, three outcomes are unknown, rested", 3, 3, attempts(2, 3), RESTED, Run),
        ("two known failures, seven outcomes are unknown, rested", 3, 3, attempts(2, 7), RESTED, Rest),
        ("a server has responded", 2, 2, Attempts { has_responded: RESPONDED, ..attempts(1, 9) }, false, Run),
        ("patience ends at the limit", 1, 1, attempts(2, 0), false, DeadLetter),
        ("retries were raised", 1, 3, attempts(2, 0), false, Run),
        ("retries were raised: three times the lower is the limit", 1, 3, attempts(3, 0), false, DeadLetter),
        ("retries were lowered", 3, 1, attempts(2, 0), false, Run),
        ("retries were raised beyond three times", 1, 9, attempts(8, 0), false, Run),
        ("all of them failed", 1, 9, attempts(9, 0), false, DeadLetter),
    ];
    for (name, accepted, current, attempts, has_rested, expected) in cases {
        let known = KnownConfiguration { generation: 0, is_confirmed: true };
        let failures = FailureLimits::new(accepted, current, true);
        let past = ItemPast { attempts, has_rested };
        let next = |expires_ms| {
            let route = RouteStatus::InForce { expires_ms, failures };
            job("j", "t", &[1]).next_item_step(known, route, past, NOW_MS)
        };
        assert_eq!(next(Some(NOW_MS)), expected, "{name}");
        assert_eq!(next(Some(NOW_MS - 1)), DeadLetter, "{name}, and its time is up");
        let is_left = expected == Rest && has_rested;
        assert_eq!(next(None), if is_left { Run } else { expected }, "{name}, and its time never ends");
    }
}

/// Guards against items that are not sent again because attempts were left early that had only waited in a queue.
#[test]
fn a_silent_server_is_left_early_unless_the_attempt_is_the_last() {
    let responded = Attempts { has_responded: true, ..attempts(0, 9) };
    let cases = [
        ("first attempt", 3, 3, attempts(0, 0), true),
        ("three outcomes are unknown, the item has rested", 3, 3, attempts(0, 3), true),
        ("the last attempt but one", 3, 3, attempts(2, 5), true),
        ("the last attempt after known failures", 3, 3, attempts(2, 6), false),
        ("the last attempt but one of three", 1, 1, attempts(0, 1), true),
        ("the last attempt", 1, 1, attempts(0, 2), false),
        ("the last attempt, a failure is known", 1, 1, attempts(1, 1), false),
        ("the larger number of retries decides", 1, 2, attempts(0, 2), true),
        ("a server has responded", 1, 1, responded, true),
    ];
    for (name, accepted, current, attempts, expected) in cases {
        let failures = FailureLimits::new(accepted, current, true);
        let route = RouteStatus::InForce { expires_ms: None, failures };
        assert_eq!(route.leaves_silent_server(attempts), expected, "{name}");
    }
}

#[test]
fn attempts_are_counted_until_the_item_has_a_result() {
    use AttemptEvent::{Failed, Permitted, Responded};
    let record = |event| Command::RecordAttempts { job: "j".to_owned(), item_index: 1, event };
    let mut state = GroupState::default();
    state.apply(record(Failed));
    state.apply(Command::Accept(job("j", "t", &[1, 1])));
    let steps = [
        (record(Failed), attempts(1, 1)),
        (record(Permitted), attempts(1, 2)),
        (record(Responded), Attempts { has_responded: true, ..attempts(1, 2) }),
        (record_results("j", vec![result(1, "x")]), attempts(0, 1)),
        (record(Failed), attempts(0, 1)),
    ];
    for (command, expected) in steps {
        let name = format!("{command:?}");
        state.apply(command);
        let recorded = state.job("j").expect("the job");
        assert_eq!(recorded.attempts(1), expected, "{name}");
        assert_eq!(recorded.attempts(0), Attempts::default(), "{name}: another item");
    }
}
