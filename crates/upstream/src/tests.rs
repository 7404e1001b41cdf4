use super::*;
use fennelgauge_model::{Server, ServerList, ServerState};
use std::time::Duration;

#[test]
fn events_are_cut_wherever_the_bytes_are() {
    let stream = b"versions: 3\nid: 1\ndata: one\n\nid: 2\r\ndata: two\r\ndata: more\r\n\r\nid: 3\ndata:";
    for size in 1..stream.len() {
        let mut reader = EventReader::default();
        let mut events = Vec::new();
        for piece in stream.chunks(size) {
            reader.push(piece);
            events.extend(reader.by_ref());
        }
        let read: Vec<(Option<u64>, &str)> =
            events.iter().map(|event| (event.id, event.data.as_str())).collect();
        assert_eq!(read, [(Some(1), "one"), (Some(2), "two\nmore")], "in pieces of {size}");
        assert!(reader.has_rest());
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

fn pool(servers: Vec<Server>) -> Pool {
    let pool = Pool::new("z");
    pool.update(&ServerList { version: 1, reader: 1, servers });
    pool
}

#[test]
fn the_least_loaded_ready_server_is_chosen() {
    let pool = pool(vec![
        server("a", ServerState::Ready),
        server("b", ServerState::Ready),
        server("c", ServerState::Draining),
    ]);
    let first = pool.choose("s", &[], None).expect("a server");
    let second = pool.choose("s", &[], None).expect("a server");
    assert_ne!(first.server.id, second.server.id);
    assert!(pool.choose("other", &[], None).is_none());
    assert!(pool.choose("s", &["a".to_owned(), "b".to_owned()], None).is_none(), "draining is no choice");
    pool.answered(&first.server.id, Some("4,9,4"));
    drop((first, second));
    pool.failed("b");
    assert_eq!(pool.choose("s", &[], None).expect("the one that does not rest").server.id, "a");
}

#[test]
fn the_same_prompt_goes_to_the_same_server_until_it_is_crowded() {
    let pool = pool(vec![server("a", ServerState::Ready), server("b", ServerState::Ready)]);
    let home = pool.choose("s", &[], Some(7)).expect("a server");
    let again = pool.choose("s", &[], Some(7)).expect("a server");
    assert_eq!(home.server.id, again.server.id);
    let third = pool.choose("s", &[], Some(7)).expect("a server");
    assert_ne!(home.server.id, third.server.id);
}

#[test]
fn versions_only_rise() {
    let known = Known::default();
    let configuration = |generation: u64| format!("{{\"generation\":{generation}}}").into_bytes();
    assert!(known.take_configuration(7, configuration(7)));
    assert!(!known.take_configuration(5, configuration(5)));
    assert!(!known.take_configuration(9, b"{".to_vec()), "unreadable");
    assert_eq!(known.generation(), 7);
}

#[test]
fn an_older_reading_of_the_list_does_not_undo_a_newer_one() {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build().unwrap();
    runtime.block_on(async {
        tokio::time::advance(Duration::from_secs(10)).await;
        let known = Known::default();
        let list = |version| ServerList { version, reader: version, servers: vec![] };
        known.take_servers(Some(list(1)), Duration::from_millis(100));
        known.take_servers(Some(list(2)), Duration::from_millis(900));
        assert_eq!(known.servers().version, 1);
        known.take_servers(Some(list(3)), Duration::from_millis(10));
        assert_eq!(known.servers().version, 3);
    });
}
