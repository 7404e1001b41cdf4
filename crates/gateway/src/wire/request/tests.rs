use super::*;
use fennelgauge::host::DedupScope;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestRunner};
use std::cell::Cell;

fn names() -> RequestNames {
    let names = |names: &[&str]| names.iter().map(ToString::to_string).collect();
    let repeat_policies =
        vec![RepeatPolicy::Idempotent, RepeatPolicy::Deduplicated(DedupScope::All, Span::from_millis(1_000))];
    RequestNames {
        classes: names(&["look", "post"]),
        plans: names(&["team"]),
        repeat_policies,
        max_units: 6.0,
        gateway_count: 3,
    }
}

fn runner() -> TestRunner {
    TestRunner::new(Config { cases: 2_000, rng_seed: RngSeed::Fixed(7), ..Config::default() })
}

/// Generates input from pieces of requests, valid and invalid, in any order.
fn input() -> impl Strategy<Value = Vec<u8>> {
    const PIECES: [&str; 16] = [
        "GET /api HTTP/1.1\r\n",
        "POST /api HTTP/1.1\r\n",
        "GET /-/ready HTTP/1.1\r\n",
        "X-Correlation-Id: 9b1f03aa5c7e2d41\r\nX-Tier: team\r\nX-Time-Left-Ms: 480\r\n",
        "X-Service-Class: look\r\nCookie: account=00000000b4d65521\r\n",
        "X-Call-Terms: units=2,spread=3,first=1\r\n",
        "X-Service-Class: post\r\nIdempotency-Key: 1\r\n",
        "Content-Length: 3\r\n",
        "Content-Length: 99999999999999999999\r\n",
        "Transfer-Encoding: chunked\r\n",
        "\r\n",
        "abc",
        "3\r\nabc\r\n",
        "ffffffffffffffff\r\n",
        "0\r\n\r\n",
        "\u{0}\u{7f}\r",
    ];
    let piece = prop_oneof![
        9 => (0..PIECES.len()).prop_map(|index| PIECES[index].as_bytes().to_vec()),
        1 => prop::collection::vec(any::<u8>(), 0..9),
    ];
    let ordered = prop::collection::vec(any::<bool>(), PIECES.len()).prop_map(|kept| {
        let kept = PIECES.iter().zip(kept).filter(|(_, kept)| *kept);
        kept.flat_map(|(piece, _)| piece.bytes()).collect()
    });
    prop_oneof![prop::collection::vec(piece, 0..12).prop_map(|pieces| pieces.concat()), ordered]
}

#[test]
fn a_request_parses_the_same_however_its_bytes_arrive() {
    // Number of inputs that were parsed as complete requests, and that were rejected.
    let (complete, rejected) = (Cell::new(0), Cell::new(0));
    let outcome = runner().run(&input(), |input| {
        let first = (0..=input.len()).find_map(|end| {
            let parsed = parse(&input[..end], Moment::default(), &names());
            (!matches!(parsed, Ok(None))).then_some((end, parsed))
        });
        match (first, parse(&input, Moment::default(), &names())) {
            (None, all) => prop_assert!(matches!(all, Ok(None))),
            (Some((end, Ok(Some(first)))), Ok(Some(all))) => {
                complete.set(complete.get() + 1);
                prop_assert_eq!((first.consumed, first.keep_alive), (all.consumed, all.keep_alive));
                prop_assert_eq!(end, all.consumed);
                prop_assert_eq!(format!("{:?}", first.request), format!("{:?}", all.request));
            }
            (Some((_, Err(first))), Err(all)) => {
                rejected.set(rejected.get() + 1);
                prop_assert_eq!(first, all);
            }
            _ => prop_assert!(false, "the results for complete and partial input differ"),
        }
        Ok(())
    });
    outcome.unwrap();
    assert!(complete.get() > 20 && rejected.get() > 20, "{complete:?} complete, {rejected:?} rejected");
}
