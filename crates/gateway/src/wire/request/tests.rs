use super::*;
use fennelgauge::host::DedupScope;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestRunner};
use std::cell::Cell;

fn names() -> Names {
    let names = |names: &[&str]| names.iter().map(ToString::to_string).collect();
    let repeats =
        vec![RepeatPolicy::Idempotent, RepeatPolicy::Deduplicated(DedupScope::All, Span::from_millis(1_000))];
    Names { bands: names(&["look", "post"]), plans: names(&["team"]), repeats, most_units: 6.0, gateways: 3 }
}

fn runner() -> TestRunner {
    TestRunner::new(Config { cases: 2_000, rng_seed: RngSeed::Fixed(7), ..Config::default() })
}

/// Pieces of requests, sound and not, in any order.
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
fn a_request_is_the_same_however_its_bytes_come() {
    // How many inputs reached each end of the check.
    let (whole, wrong) = (Cell::new(0), Cell::new(0));
    let outcome = runner().run(&input(), |input| {
        let first = (0..=input.len()).find_map(|end| {
            let taken = take(&input[..end], Moment::default(), &names());
            (!matches!(taken, Ok(None))).then_some((end, taken))
        });
        match (first, take(&input, Moment::default(), &names())) {
            (None, all) => prop_assert!(matches!(all, Ok(None))),
            (Some((end, Ok(Some(first)))), Ok(Some(all))) => {
                whole.set(whole.get() + 1);
                prop_assert_eq!((first.used, first.keep), (all.used, all.keep));
                prop_assert_eq!(end, all.used);
                prop_assert_eq!(format!("{:?}", first.request), format!("{:?}", all.request));
            }
            (Some((_, Err(first))), Err(all)) => {
                wrong.set(wrong.get() + 1);
                prop_assert_eq!(first, all);
            }
            _ => prop_assert!(false, "whole and in pieces differ"),
        }
        Ok(())
    });
    outcome.unwrap();
    assert!(whole.get() > 20 && wrong.get() > 20, "{whole:?} whole, {wrong:?} wrong");
}
