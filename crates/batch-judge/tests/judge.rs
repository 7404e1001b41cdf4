//! Each rule, broken once, and what does not break it.

use fennelgauge_batch_judge::{BatchJudge, Bounds, Listed, Outcome, PageSeen, Rule, SentItem, SentJob};

const SECOND: u64 = 1_000_000;

fn judge() -> BatchJudge {
    let mut judge = BatchJudge::new(Bounds { settle: SECOND, cancel: 3 * SECOND, most_queued: 30 });
    judge.sent(&job("j", &["a", "b"]));
    judge.accepted(SECOND, "j");
    judge.done("a", "text of a");
    judge.done("a", "other text of a");
    judge.done("b", "text of b");
    judge
}

fn job(id: &str, items: &[&str]) -> SentJob {
    let item = |id: &&str| SentItem { id: id.to_string(), tokens: 10 };
    SentJob { id: id.into(), tenant: "t".into(), items: items.iter().map(item).collect() }
}

fn listed(item: &str, text: &str) -> Listed {
    Listed { item: item.into(), outcome: Outcome::Succeeded, text: text.into() }
}

fn page(start: usize, results: &[Listed]) -> PageSeen {
    PageSeen { start, total: 2, results: results.to_vec() }
}

#[test]
fn pages_are_compared_with_all_that_was_read() {
    let first = page(0, &[listed("a", "text of a")]);
    let cases: Vec<(&str, PageSeen, Option<Rule>)> = vec![
        ("the same", first.clone(), None),
        ("more", page(0, &[listed("a", "text of a"), listed("b", "text of b")]), None),
        ("nothing new", page(1, &[]), None),
        ("another run's text", page(0, &[listed("a", "other text of a")]), Some(Rule::Twice)),
        ("another item", page(0, &[listed("b", "text of b")]), Some(Rule::Twice)),
        ("twice", page(1, &[listed("a", "text of a")]), Some(Rule::Twice)),
        ("gone", page(0, &[]), Some(Rule::Lost)),
        ("half a text", page(1, &[listed("b", "text")]), Some(Rule::Mixed)),
        ("a foreign item", page(1, &[listed("z", "text")]), Some(Rule::Mixed)),
        ("a wrong total", PageSeen { total: 3, ..first.clone() }, Some(Rule::Mixed)),
    ];
    for (name, second, expected) in cases {
        let mut judge = judge();
        judge.read(2 * SECOND, 2 * SECOND, "j", &first, "reader");
        judge.read(5 * SECOND, 5 * SECOND, "j", &second, "reader");
        let found: Vec<Rule> = judge.broken.iter().map(|broken| broken.rule).collect();
        assert_eq!(found, Vec::from_iter(expected), "{name}");
    }
}

#[test]
fn what_was_accepted_is_found_and_finished() {
    let mut early = judge();
    early.not_found(SECOND + SECOND / 2, 9 * SECOND, "j", "reader");
    early.not_found(9 * SECOND, 9 * SECOND, "unknown", "reader");
    assert!(early.broken.is_empty());
    early.not_found(3 * SECOND, 3 * SECOND, "j", "reader");
    assert_eq!(early.broken[0].rule, Rule::Lost);
    let mut open = judge();
    open.close(9 * SECOND);
    assert_eq!(open.broken[0].rule, Rule::Unfinished);
    let mut ended = judge();
    ended.end_asked("j");
    ended.close(9 * SECOND);
    assert!(ended.broken.is_empty() && ended.is_finished("j"));
}

#[test]
fn nothing_runs_after_its_end_and_quotas_hold_at_each_202() {
    let mut judge = judge();
    judge.ended(2 * SECOND, "j");
    judge.began(4 * SECOND, "a");
    assert!(judge.broken.is_empty());
    judge.began(6 * SECOND, "a");
    assert_eq!(judge.broken[0].rule, Rule::Unasked);
    judge.broken.clear();
    judge.sent(&job("k", &["k0", "k1", "k2"]));
    judge.accepted(SECOND, "k");
    assert!(judge.broken.is_empty(), "what servers have finished does not count");
    judge.sent(&job("l", &["l0"]));
    judge.accepted(SECOND, "l");
    assert_eq!(judge.broken[0].rule, Rule::Quota);
}
