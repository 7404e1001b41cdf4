use super::*;
use fennelgauge_model::{Server, ServerList, ServerState};
use fennelgauge_settings::Policy;
use futures_util::FutureExt;
use std::time::Duration;

#[test]
fn events_are_parsed_regardless_of_how_the_bytes_are_split() {
    let stream = b"versions: 3\nid: 1\ndata: one\n\nid: 2\r\ndata: two\r\ndata: more\r\n\r\nid: 3\ndata:";
    for size in 1..stream.len() {
        let mut parser = EventParser::default();
        let mut events = Vec::new();
        for chunk in stream.chunks(size) {
            parser.push(chunk);
            events.extend(parser.by_ref());
        }
        let parsed: Vec<(Option<u64>, &str)> =
            events.iter().map(|event| (event.id, event.data.as_str())).collect();
        assert_eq!(parsed, [(Some(1), "one"), (Some(2), "two\nmore")], "chunks of {size} bytes");
        assert!(parser.has_partial_event());
    }
}

#[test]
fn only_events_with_consecutive_ids_are_accepted() {
    type Case = (&'static str, &'static [Option<u64>], usize, Option<u64>);
    let cases: [Case; 7] = [
        ("in order", &[Some(1), Some(2), Some(3)], 3, Some(3)),
        ("starting at another id", &[Some(7), Some(8)], 2, Some(8)),
        ("repeated", &[Some(1), Some(2), Some(2), Some(3)], 2, Some(2)),
        ("a gap", &[Some(1), Some(3)], 1, Some(1)),
        ("backwards", &[Some(4), Some(1)], 1, Some(4)),
        ("without an id", &[Some(1), None, Some(2)], 1, Some(1)),
        ("no events", &[], 0, None),
    ];
    for (name, ids, accepted, last) in cases {
        let mut order = EventOrder::default();
        let event = |id: &Option<u64>| Event { bytes: vec![], id: *id, data: String::new() };
        assert_eq!(ids.iter().map(event).take_while(|event| order.accept(event)).count(), accepted, "{name}");
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
        "a draining server is not chosen"
    );
    pool.record_success(&first, Some("4,9,4"));
    drop((first, second));
    pool.record_failure("b");
    assert_eq!(
        pool.choose("s", &[], &RequestProfile::default()).expect("the server without a cooldown").server.id,
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
        let guards: Vec<_> = (0..4).map(|_| choose()).collect();
        assert!(guards.iter().all(|guard| guard.server.id == "b"), "a is in its cooldown");
        tokio::time::advance(Duration::from_secs(1)).await;
        let first = choose();
        assert_eq!(first.server.id, "a");
        assert_eq!(choose().server.id, "b", "a gets one request at a time");
        pool.record_success(&first, None);
        assert_eq!(choose().server.id, "a", "a has responded");
    });
}

fn with_affinity() -> RequestProfile {
    RequestProfile { affinity: Some(7), prompt_tokens: 0, kind: RequestKind::Short }
}

#[test]
fn only_a_large_shared_prefix_yields_an_affinity() {
    let cases = [
        (None, false, 0),
        (Some("5c1e07a2:800,91bd3f06:410,e4402b7d:250"), true, 1_460),
        (Some("5c1e07a2:100,91bd3f06:410,e4402b7d:2500"), false, 3_010),
        (Some("e4402b7d:2500"), false, 2_500),
        (Some("garbled,a:b,"), false, 0),
    ];
    for (header, has_affinity, tokens) in cases {
        let profile = RequestProfile::from_prefix_header(header);
        assert_eq!((profile.affinity.is_some(), profile.prompt_tokens), (has_affinity, tokens), "{header:?}");
    }
}

#[test]
fn a_server_that_still_processes_a_prompt_counts_as_loaded() {
    let pool = pool(vec![server("a", ServerState::Ready), server("b", ServerState::Ready)]);
    let large = RequestProfile { affinity: None, prompt_tokens: 50_000, kind: RequestKind::Short };
    let processing = pool.choose("s", &[], &large).expect("a server");
    let chosen_id = || pool.choose("s", &[], &RequestProfile::default()).expect("a server").server.id.clone();
    assert!((0..3).all(|_| chosen_id() != processing.server.id));
    pool.record_success(&processing, None);
    // That request is still in flight: of the next three, the second may go to either server, as both have the same
    // load.
    let guards: Vec<_> =
        (0..3).map(|_| pool.choose("s", &[], &RequestProfile::default()).expect("a server")).collect();
    assert!(guards.iter().any(|guard| guard.server.id == processing.server.id), "its prompt is processed");
}

#[test]
fn short_requests_avoid_the_servers_for_long_prompts_until_their_own_are_much_fuller() {
    let pool = pool(vec![server("a", ServerState::Ready), server("b", ServerState::Ready)]);
    let long = RequestProfile { affinity: None, prompt_tokens: 6_000, kind: RequestKind::Long };
    let short = RequestProfile { affinity: None, prompt_tokens: 2_000, kind: RequestKind::Short };
    let first = pool.choose("s", &[], &long).expect("a server");
    let long_server = first.server.id.clone();
    drop(first);
    let shorts: Vec<_> = (0..3).map(|_| pool.choose("s", &[], &short).expect("a server")).collect();
    assert_ne!(shorts[0].server.id, long_server);
    assert_eq!(shorts[0].server.id, shorts[1].server.id, "although the other server is idle");
    assert_eq!(shorts[2].server.id, long_server, "the server for short requests is much fuller");
}

#[test]
fn requests_with_the_same_prefix_go_to_the_same_server_until_it_is_much_fuller() {
    let pool = pool(vec![server("a", ServerState::Ready), server("b", ServerState::Ready)]);
    let first = pool.choose("s", &[], &with_affinity()).expect("a server");
    let second = pool.choose("s", &[], &with_affinity()).expect("a server");
    assert_eq!(first.server.id, second.server.id);
    let third = pool.choose("s", &[], &with_affinity()).expect("a server");
    assert_ne!(first.server.id, third.server.id);
}

#[test]
fn a_configuration_is_replaced_only_by_a_newer_valid_one() {
    let state = TierState::default();
    let configuration = |generation: u64| format!("{{\"generation\":{generation}}}").into_bytes();
    assert!(state.update_configuration(7, configuration(7)));
    assert!(!state.update_configuration(5, configuration(5)));
    assert!(!state.update_configuration(9, b"{".to_vec()), "malformed");
    assert_eq!(state.generation(), 7);
}

#[test]
fn an_older_server_list_does_not_replace_a_newer_one() {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build().unwrap();
    runtime.block_on(async {
        tokio::time::advance(Duration::from_secs(10)).await;
        let state = TierState::default();
        let list = |version| ServerList { version, reader_incarnation: version, servers: vec![] };
        state.update_server_list(Some(list(1)), Duration::from_millis(100));
        state.update_server_list(Some(list(2)), Duration::from_millis(900));
        assert_eq!(state.server_list().version, 1);
        state.update_server_list(Some(list(3)), Duration::from_millis(10));
        assert_eq!(state.server_list().version, 3);
    });
}

#[test]
fn a_source_without_a_confirmed_view_replies_at_once_and_sends_no_configuration() {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build().unwrap();
    runtime.block_on(async {
        let state = TierState::default();
        assert!(state.update_configuration(7, br#"{"generation":7,"routes":[],"services":[]}"#.to_vec()));
        let watch = fennelgauge_wire::WatchRequest { known: Default::default(), wait_ms: 400 };
        let up_to_date = fennelgauge_wire::WatchRequest { known: state.known_versions(), wait_ms: 400 };
        let reply_after = |age_ms| {
            state.wait_for_confirmed_update(&watch).map(move |reply| (reply.configuration.is_some(), age_ms))
        };
        assert_eq!(reply_after(0).await, (false, 0), "the view has not been confirmed yet");
        for (age_ms, expected) in [(0, true), (1_400, true), (1_600, false), (60_000, false)] {
            tokio::time::advance(Duration::from_secs(90)).await;
            state.update_view_confirmation(Duration::from_millis(age_ms));
            assert_eq!(reply_after(age_ms).await, (expected, age_ms));
            let started = tokio::time::Instant::now();
            state.wait_for_confirmed_update(&up_to_date).await;
            assert_eq!(started.elapsed().is_zero(), !expected, "the watcher can try another source at once");
        }
    });
}

#[test]
fn servers_are_reserved_for_long_prompts_only_if_these_are_much_longer_than_the_others() {
    type Case = (&'static str, &'static [u64], bool);
    let cases: [Case; 4] = [
        ("two distinct lengths", &[12_000, 800, 800, 12_000, 900, 700, 800, 12_000], true),
        ("of all lengths", &[2_500, 1_200, 3_000, 1_900, 900, 1_500, 2_200, 1_700], false),
        ("only long prompts", &[12_000, 11_000, 13_000], true),
        ("only short prompts", &[800, 900, 700, 800, 800, 700], false),
    ];
    for (name, prompts, reserved) in cases {
        let mut mix = prompt_mix::PromptMix::new();
        let now = tokio::time::Instant::now();
        for tokens in prompts {
            mix.record(&RequestProfile::from_prefix_header(Some(&format!("a1:{tokens}"))), now);
        }
        assert_eq!(mix.long_prompt_fraction().is_some(), reserved, "{name}");
    }
}

fn on_simulated_time(test: impl std::future::Future<Output = ()>) {
    tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .unwrap()
        .block_on(test);
}

fn configuration_json(generation: u64) -> Vec<u8> {
    format!(r#"{{"generation":{generation},"routes":[],"services":[]}}"#).into_bytes()
}

/// Returns a core member's state with this configuration, which a majority confirms now.
fn confirmed_source(generation: u64, json: Vec<u8>) -> TierState {
    let source = TierState::for_source();
    assert!(source.update_configuration(generation, json));
    source.update_view_confirmation(Duration::ZERO);
    source.update_configuration_confirmation(tokio::time::Instant::now());
    source
}

/// Returns the reply of a source to this watcher.
async fn reply_of(source: &TierState, watcher: &TierState) -> fennelgauge_wire::WatchReply {
    let watch = fennelgauge_wire::WatchRequest { known: watcher.known_versions(), wait_ms: 0 };
    source.wait_for_confirmed_update(&watch).await
}

/// Guards against an older configuration that is taken for the newest, because the confirmation that came with a newer one
/// counts from the moment when a late reply came.
#[test]
fn the_confirmation_of_a_configuration_counts_from_the_request() {
    on_simulated_time(async {
        let watcher = TierState::default();
        let requested_at = tokio::time::Instant::now();
        let reply = reply_of(&confirmed_source(7, configuration_json(7)), &watcher).await;
        tokio::time::advance(Duration::from_millis(900)).await;
        watcher.apply_update(reply, requested_at);
        assert_eq!(watcher.generation(), 7);
        assert!(watcher
            .configuration_confirmed_at()
            .is_some_and(|confirmed_at| confirmed_at <= requested_at));
    });
}

/// Guards against a configuration that was lost with the core's disks and is taken for the newest, because a member of the new core
/// confirms its own, whose generation is lower.
#[test]
fn a_source_confirms_only_the_configuration_that_it_has_itself() {
    on_simulated_time(async {
        tokio::time::advance(Duration::from_secs(60)).await;
        let watcher = TierState::default();
        assert!(watcher.update_configuration(100, configuration_json(100)));
        let reply = reply_of(&confirmed_source(1, configuration_json(1)), &watcher).await;
        watcher.apply_update(reply, tokio::time::Instant::now());
        assert_eq!(watcher.generation(), 100);
        assert_eq!(watcher.configuration_confirmed_at(), None);
    });
}

/// Guards against an older configuration that is taken for the newest, because the source or the watcher left the newer one out.
#[test]
fn a_reply_without_the_newest_configuration_confirms_none() {
    on_simulated_time(async {
        tokio::time::advance(Duration::from_secs(60)).await;
        let source = confirmed_source(7, configuration_json(7));
        let watcher = TierState::default();
        let mut undecodable = reply_of(&source, &watcher).await;
        undecodable.configuration.as_mut().expect("a configuration").checksum ^= 1;
        watcher.apply_update(undecodable, tokio::time::Instant::now());
        assert_eq!(watcher.configuration_confirmed_at(), None, "an update that cannot be decoded");

        let mut malformed = reply_of(&source, &watcher).await;
        let update = malformed.configuration.as_mut().expect("a configuration");
        (update.compressed, update.checksum) =
            (fennelgauge_encoding::compress(b"{"), fennelgauge_encoding::checksum(b"{"));
        watcher.apply_update(malformed, tokio::time::Instant::now());
        assert_eq!(watcher.configuration_confirmed_at(), None, "a configuration that cannot be parsed");

        let known = source.configuration_confirmed_at().expect("confirmed");
        tokio::time::advance(Duration::from_secs(30)).await;
        let withheld = reply_of(&source, &watcher).await;
        assert!(withheld.configuration.is_none(), "the source's view is not confirmed any more");
        watcher.apply_update(withheld, tokio::time::Instant::now());
        assert!(watcher.configuration_confirmed_at().is_none_or(|confirmed_at| confirmed_at < known));
    });
}

/// Guards against a configuration that is taken for the newest as of a moment at which the one before it was confirmed.
#[test]
fn a_newer_configuration_is_not_confirmed_by_the_confirmation_of_the_one_before() {
    on_simulated_time(async {
        tokio::time::advance(Duration::from_secs(60)).await;
        let source = confirmed_source(8, configuration_json(8));
        let confirmed_at = source.configuration_confirmed_at().expect("confirmed");
        tokio::time::advance(Duration::from_secs(5)).await;
        source.update_view_confirmation(Duration::ZERO);
        let watcher = TierState::default();
        assert!(watcher.update_configuration(7, configuration_json(7)));
        watcher.update_configuration_confirmation(tokio::time::Instant::now());
        let reply = reply_of(&source, &watcher).await;
        watcher.apply_update(reply, tokio::time::Instant::now());
        assert_eq!(watcher.generation(), 8);
        assert!(watcher.configuration_confirmed_at().is_some_and(|known| known <= confirmed_at));
    });
}
