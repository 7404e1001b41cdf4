use super::*;
use fennelgauge_model::{Server, ServerList, ServerState};
use fennelgauge_settings::Policy;
use futures_util::FutureExt;
use std::time::Duration;

#[test]
fn events_are_cut_wherever_the_bytes_are() {
    let stream = b"versions: 3\nid: 1\ndata: one\n\nid: 2\r\ndata: two\r\ndata: more\r\n\r\nid: 3\ndata:";
    for size in 1..stream.len() {
        let mut reader = EventParser::default();
        let mut events = Vec::new();
        for piece in stream.chunks(size) {
            reader.push(piece);
            events.extend(reader.by_ref());
        }
        let read: Vec<(Option<u64>, &str)> =
            events.iter().map(|event| (event.id, event.data.as_str())).collect();
        assert_eq!(read, [(Some(1), "one"), (Some(2), "two\nmore")], "in pieces of {size}");
        assert!(reader.has_partial_event());
    }
}

#[test]
fn events_count_only_in_their_order() {
    type Case = (&'static str, &'static [Option<u64>], usize, Option<u64>);
    let cases: [Case; 7] = [
        ("in order", &[Some(1), Some(2), Some(3)], 3, Some(3)),
        ("from another place", &[Some(7), Some(8)], 2, Some(8)),
        ("twice", &[Some(1), Some(2), Some(2), Some(3)], 2, Some(2)),
        ("a gap", &[Some(1), Some(3)], 1, Some(1)),
        ("back", &[Some(4), Some(1)], 1, Some(4)),
        ("without an id", &[Some(1), None, Some(2)], 1, Some(1)),
        ("nothing", &[], 0, None),
    ];
    for (name, ids, taken, last) in cases {
        let mut order = EventOrder::default();
        let event = |id: &Option<u64>| Event { bytes: vec![], id: *id, data: String::new() };
        assert_eq!(ids.iter().map(event).take_while(|event| order.accept(event)).count(), taken, "{name}");
        assert_eq!(order.last_id(), last, "{name}");
    }
}

fn server(id: &str, state: ServerState) -> Server {
    Server {
        id: id.to_owned(),
        backend: "s".to_owned(),
        addr: "10.0.0.1:80".parse().unwrap(),
        zone: "z".to_owned(),
        slots: 4,
        state,
        cold_ms: 0,
    }
}

fn pool(servers: Vec<Server>) -> ServerPool {
    let pool = ServerPool::new("z", &Policy::default());
    pool.update(&ServerList { version: 1, reader_incarnation: 1, servers });
    pool
}

#[test]
fn the_least_loaded_ready_server_is_chosen() {
    let pool = pool(vec![
        server("a", ServerState::Ready),
        server("b", ServerState::Ready),
        server("c", ServerState::Draining),
    ]);
    let first = pool.choose("s", &[], &RequestProfile::default()).expect("a server");
    let second = pool.choose("s", &[], &RequestProfile::default()).expect("a server");
    assert_ne!(first.server.id, second.server.id);
    assert!(pool.choose("other", &[], &RequestProfile::default()).is_none());
    assert!(
        pool.choose("s", &["a".to_owned(), "b".to_owned()], &RequestProfile::default()).is_none(),
        "draining is no choice"
    );
    pool.record_success(&first, Some("4,9,4"));
    drop((first, second));
    pool.record_failure("b");
    assert_eq!(
        pool.choose("s", &[], &RequestProfile::default()).expect("the one that does not rest").server.id,
        "a"
    );
}

#[test]
fn after_a_failure_a_server_gets_one_request_at_a_time() {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build().unwrap();
    runtime.block_on(async {
        let pool = pool(vec![server("a", ServerState::Ready), server("b", ServerState::Ready)]);
        pool.record_failure("a");
        let choose = || pool.choose("s", &[], &RequestProfile::default()).expect("a server");
        let held: Vec<_> = (0..4).map(|_| choose()).collect();
        assert!(held.iter().all(|ticket| ticket.server.id == "b"), "it rests");
        tokio::time::advance(Duration::from_secs(1)).await;
        let trial = choose();
        assert_eq!(trial.server.id, "a");
        assert_eq!(choose().server.id, "b", "one at a time");
        pool.record_success(&trial, None);
        assert_eq!(choose().server.id, "a", "it answers again");
    });
}

fn same() -> RequestProfile {
    RequestProfile { affinity: Some(7), prompt_tokens: 0, kind: RequestKind::Short }
}

#[test]
fn a_large_shared_part_binds_a_request_to_a_server() {
    let cases = [
        (None, false, 0),
        (Some("5c1e07a2:800,91bd3f06:410,e4402b7d:250"), true, 1_460),
        (Some("5c1e07a2:100,91bd3f06:410,e4402b7d:2500"), false, 3_010),
        (Some("e4402b7d:2500"), false, 2_500),
        (Some("garbled,a:b,"), false, 0),
    ];
    for (parts, bound, tokens) in cases {
        let demand = RequestProfile::from_prefix_header(parts);
        assert_eq!((demand.affinity.is_some(), demand.prompt_tokens), (bound, tokens), "{parts:?}");
    }
}

#[test]
fn a_server_that_still_reads_prompts_is_left_in_favour_of_another() {
    let pool = pool(vec![server("a", ServerState::Ready), server("b", ServerState::Ready)]);
    let large = RequestProfile { affinity: None, prompt_tokens: 50_000, kind: RequestKind::Short };
    let reading = pool.choose("s", &[], &large).expect("a server");
    let other = || pool.choose("s", &[], &RequestProfile::default()).expect("a server").server.id.clone();
    assert!((0..3).all(|_| other() != reading.server.id));
    pool.record_success(&reading, None);
    // One is there still: the second of three may go to either, where both are alike.
    let held: Vec<_> =
        (0..3).map(|_| pool.choose("s", &[], &RequestProfile::default()).expect("a server")).collect();
    assert!(held.iter().any(|ticket| ticket.server.id == reading.server.id), "its prompt is read");
}

#[test]
fn short_requests_keep_away_from_the_servers_of_long_ones_unless_theirs_are_full() {
    let pool = pool(vec![server("a", ServerState::Ready), server("b", ServerState::Ready)]);
    let long = RequestProfile { affinity: None, prompt_tokens: 6_000, kind: RequestKind::Long };
    let short = RequestProfile { affinity: None, prompt_tokens: 2_000, kind: RequestKind::Short };
    let first = pool.choose("s", &[], &long).expect("a server");
    let long_server = first.server.id.clone();
    drop(first);
    let shorts: Vec<_> = (0..3).map(|_| pool.choose("s", &[], &short).expect("a server")).collect();
    assert_ne!(shorts[0].server.id, long_server);
    assert_eq!(shorts[0].server.id, shorts[1].server.id, "though the other is idle");
    assert_eq!(shorts[2].server.id, long_server, "until theirs is much fuller");
}

#[test]
fn the_same_prompt_goes_to_the_same_server_until_it_is_crowded() {
    let pool = pool(vec![server("a", ServerState::Ready), server("b", ServerState::Ready)]);
    let home = pool.choose("s", &[], &same()).expect("a server");
    let again = pool.choose("s", &[], &same()).expect("a server");
    assert_eq!(home.server.id, again.server.id);
    let third = pool.choose("s", &[], &same()).expect("a server");
    assert_ne!(home.server.id, third.server.id);
}

#[test]
fn versions_only_rise() {
    let known = TierState::default();
    let configuration = |generation: u64| format!("{{\"generation\":{generation}}}").into_bytes();
    assert!(known.update_configuration(7, configuration(7)));
    assert!(!known.update_configuration(5, configuration(5)));
    assert!(!known.update_configuration(9, b"{".to_vec()), "unreadable");
    assert_eq!(known.generation(), 7);
}

#[test]
fn an_older_reading_of_the_list_does_not_undo_a_newer_one() {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build().unwrap();
    runtime.block_on(async {
        tokio::time::advance(Duration::from_secs(10)).await;
        let known = TierState::default();
        let list = |version| ServerList { version, reader_incarnation: version, servers: vec![] };
        known.update_servers(Some(list(1)), Duration::from_millis(100));
        known.update_servers(Some(list(2)), Duration::from_millis(900));
        assert_eq!(known.servers().version, 1);
        known.update_servers(Some(list(3)), Duration::from_millis(10));
        assert_eq!(known.servers().version, 3);
    });
}

#[test]
fn a_source_out_of_touch_answers_at_once_and_gives_out_no_configuration() {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build().unwrap();
    runtime.block_on(async {
        let known = TierState::default();
        assert!(known.update_configuration(7, br#"{"generation":7,"routes":[],"services":[]}"#.to_vec()));
        let watch = fennelgauge_wire::WatchRequest { known: Default::default(), wait_ms: 400 };
        let up_to_date = fennelgauge_wire::WatchRequest { known: known.known_versions(), wait_ms: 400 };
        let given = |age_ms| {
            known.wait_for_confirmed_update(&watch).map(move |news| (news.configuration.is_some(), age_ms))
        };
        assert_eq!(given(0).await, (false, 0), "nobody has confirmed its view yet");
        for (age_ms, expected) in [(0, true), (1_400, true), (1_600, false), (60_000, false)] {
            tokio::time::advance(Duration::from_secs(90)).await;
            known.update_view_confirmation(Duration::from_millis(age_ms));
            assert_eq!(given(age_ms).await, (expected, age_ms));
            let began = tokio::time::Instant::now();
            known.wait_for_confirmed_update(&up_to_date).await;
            assert_eq!(began.elapsed().is_zero(), !expected, "a watcher is not kept from trying another");
        }
    });
}

#[test]
fn long_prompts_are_kept_apart_only_where_they_are_far_longer() {
    type Case = (&'static str, &'static [u64], bool);
    let cases: [Case; 4] = [
        ("two kinds", &[12_000, 800, 800, 12_000, 900, 700, 800, 12_000], true),
        ("of all lengths", &[2_500, 1_200, 3_000, 1_900, 900, 1_500, 2_200, 1_700], false),
        ("only long ones", &[12_000, 11_000, 13_000], true),
        ("only short ones", &[800, 900, 700, 800, 800, 700], false),
    ];
    for (name, prompts, apart) in cases {
        let mut mix = prompt_mix::PromptMix::new();
        let now = tokio::time::Instant::now();
        for tokens in prompts {
            mix.count(&RequestProfile::from_prefix_header(Some(&format!("a1:{tokens}"))), now);
        }
        assert_eq!(mix.long_part().is_some(), apart, "{name}");
    }
}
