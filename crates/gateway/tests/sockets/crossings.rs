//! Pairs of events that can cross, in the order that does harm, made to happen every time: a stopped gateway finds
//! both when it goes on, and a connection comes up when the test lets it. `docs/crossings.md` has a row for each.

use crate::stage::{accept, comes, count, job, listener, serve, unheard, Agent, Door, End, Stage, PATIENT};
use socket2::SockRef;
use std::io::{BufRead, ErrorKind, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::time::{Duration, Instant};

/// Until the span since a moment is over, however slow the machine is.
fn pass(since: Instant, millis: u64) {
    let span = Duration::from_millis(millis);
    while since.elapsed() < span {
        std::thread::sleep(span - since.elapsed());
    }
}

/// The correlation id that a request has.
fn id(request: &str) -> &str {
    request.lines().find_map(|line| line.strip_prefix("x-correlation-id: ")).unwrap()
}

/// A configuration by which calls to the counter are waited for until the test has it answer.
fn slow_counter(text: String) -> String {
    text.replace(r#""counter_timeout":200000"#, r#""counter_timeout":9000000"#)
}

/// That customer's job in place of the usual one's.
fn of_customer(number: u32, job: String) -> String {
    job.replace("account=00000000b4d65521", &format!("account={number:016x}"))
}

/// Discovery's whole list of two servers, the second one in service.
fn list(stage: &Stage, seq: u64, health: &str) -> String {
    let hosts = [stage.host(0, health), stage.host(1, "in_service")].join(",");
    format!(r#"{{"seq":{seq},"whole":true,"hosts":[{hosts}]}}"#)
}

/// Jobs of several customers, each with an order of servers of its own, all go to that server and none to the other.
fn all_go_to(stage: &Stage, number: usize) {
    for customer in 0..8 {
        let mut client = stage.client();
        let asks = job(&format!("5{customer}"), "look", "open", PATIENT, "");
        client.write(of_customer(customer, asks));
        let mut server = stage.server(number);
        server.read();
        server.write("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
        assert_eq!(client.status(), "200");
    }
    let other = &stage.servers[1 - number];
    other.set_nonblocking(true).unwrap();
    assert!(other.accept().is_err(), "it dialled the other server");
    other.set_nonblocking(false).unwrap();
}

// An attempt that waits for its connection to come up.

#[test]
fn no_relay_for_a_client_that_left_while_its_connection_came_up() {
    for band in ["look", "book"] {
        let stage = Stage::start(1, 200);
        let door = Door::shut(&stage.servers[0]);
        let mut client = stage.client();
        client.write(job("a0", band, "open", PATIENT, if band == "look" { "" } else { "x" }));
        door.is_dialled();
        stage.signal("-STOP");
        drop(client);
        door.open();
        let mut server = stage.server(0);
        stage.goes_on();
        // What comes first on it is the next client's job.
        let mut next = stage.client();
        next.write(job("a1", "look", "open", PATIENT, ""));
        assert_eq!(id(&server.read().0), "a1");
        server.answer("200 OK", "next");
        assert_eq!(next.read().1, b"next");
    }
}

#[test]
fn no_relay_to_a_server_told_to_drain_while_its_connection_came_up() {
    let stage = Stage::start(2, 200);
    let agent = Agent::tells(&stage.agent, &[stage.host(0, "in_service")]);
    agent.has_told();
    let door = Door::shut(&stage.servers[0]);
    let mut client = stage.client();
    client.write(job("a2", "book", "open", PATIENT, "x"));
    door.is_dialled();
    agent.stops(&stage);
    agent.tell(&[stage.host(0, "terminating"), stage.host(1, "in_service")]);
    agent.has_told();
    door.open();
    let mut draining = stage.server(0);
    stage.goes_on();
    // Never sent on, it may go elsewhere, although its band may not run twice.
    let mut server = stage.server(1);
    assert_eq!(id(&server.read().0), "a2");
    server.answer("200 OK", "elsewhere");
    assert_eq!(client.read().1, b"elsewhere");
    draining.ends();
}

#[test]
fn no_relay_beyond_the_repeat_window_that_ran_out_while_its_connection_came_up() {
    let stage =
        Stage::with(2, 200, |text| text.replace(r#""repeat_window":60000000"#, r#""repeat_window":1500000"#));
    let agent = Agent::tells(&stage.agent, &[stage.host(0, "in_service")]);
    agent.has_told();
    let door = Door::shut(&stage.servers[1]);
    let mut client = stage.client();
    let sent = Instant::now();
    client.write(job("a3", "post", "open", PATIENT, "x"));
    let mut first = stage.server(0);
    first.read();
    agent.stops(&stage);
    agent.tell(&[stage.host(0, "in_service"), stage.host(1, "in_service")]);
    agent.has_told();
    // It may have run.
    drop(first);
    stage.goes_on();
    door.is_dialled();
    pass(sent, 1_500);
    door.open();
    let mut second = stage.server(1);
    // All servers drop its repeats, so that its client may try again.
    assert_eq!(client.status(), "429");
    drop(client);
    stage.log();
    second.ends();
}

#[test]
fn a_job_whose_time_ran_out_before_its_connection_came_up_was_never_sent() {
    let stage = Stage::start(1, 200);
    stage.is_ready();
    let door = Door::shut(&stage.servers[0]);
    let mut client = stage.client();
    // Wanted in 0.4 s and taken back then: trying it again is harmless, though its band may not run twice.
    client.write(job("a4", "soon", "open", PATIENT, "x"));
    door.is_dialled();
    assert_eq!(client.status(), "429");
}

#[test]
fn a_stop_while_a_connection_comes_up_waits_for_its_job() {
    let stage = Stage::start(1, 200);
    let door = Door::shut(&stage.servers[0]);
    let mut client = stage.client();
    client.write(job("a5", "book", "open", PATIENT, "x"));
    door.is_dialled();
    stage.signal("-TERM");
    stage.says("stopping");
    stage.signal("-TERM");
    stage.signal("-HUP");
    door.open();
    let mut server = stage.server(0);
    server.read();
    server.answer("200 OK", "still");
    assert_eq!(client.read().1, b"still");
    client.ends();
}

/// Guards against a job that is lost with a dial that does not come up before the gateway is stopped and another server is listed. The
/// dial has to be under way at the stop: had it timed out before, there would be no other server yet, and the job would be answered.
#[test]
fn a_dial_that_never_comes_up_costs_its_job_one_try() {
    let stage = Stage::with(2, 200, |text| {
        text.replace(r#""connect_timeout":5000000"#, r#""connect_timeout":2000000"#)
    });
    let agent = Agent::tells(&stage.agent, &[stage.host(0, "in_service")]);
    agent.has_told();
    let door = Door::shut(&stage.servers[0]);
    let mut client = stage.client();
    client.write(job("a6", "book", "open", PATIENT, "x"));
    door.is_dialled();
    agent.stops(&stage);
    assert!(door.is_dialled_now(), "the dial timed out before the gateway was stopped");
    agent.tell(&[stage.host(0, "in_service"), stage.host(1, "in_service")]);
    agent.has_told();
    stage.goes_on();
    let mut server = stage.server(1);
    assert_eq!(id(&server.read().0), "a6");
    server.answer("200 OK", "other");
    assert_eq!(client.read().1, b"other");
}

// A client's leaving.

#[test]
fn a_client_that_left_behind_bytes_not_read_has_left() {
    for requests in [50, 1_000] {
        let stage = Stage::with(1, 200, slow_counter);
        let mut client = stage.client();
        client.write(job("b0", "look", "team", PATIENT, ""));
        let mut counter = accept(&stage.counter);
        counter.0.read_line(&mut String::new()).unwrap();
        let behind = job("b1", "look", "team", PATIENT, "").repeat(requests);
        let stream = client.0.get_mut();
        stream.set_write_timeout(Some(Duration::from_secs(5))).unwrap();
        let _ = stream.write_all(behind.as_bytes());
        drop(client);
        stage.says("reason=\"closed by client\"");
        counter.write("ok 2\r\n");
        let mut next = stage.client();
        next.write(job("b2", "look", "open", PATIENT, ""));
        assert_eq!(id(&stage.server(0).read().0), "b2");
    }
}

#[test]
fn a_client_that_left_with_its_counters_answer_gets_no_relay() {
    for half in [false, true] {
        let stage = Stage::with(1, 200, slow_counter);
        // A connection stands ready, so that a relay would be written at once.
        let mut first = stage.client();
        first.write(job("b3", "look", "open", PATIENT, ""));
        let mut server = stage.server(0);
        server.read();
        server.answer("200 OK", "ready");
        assert_eq!(first.read().1, b"ready");
        let mut client = stage.client();
        let written = Instant::now();
        client.write(job("b4", "look", "team", PATIENT, ""));
        let mut counter = accept(&stage.counter);
        counter.0.read_line(&mut String::new()).unwrap();
        pass(written, 50);
        stage.signal("-STOP");
        counter.write("ok 2\r\n");
        if half {
            client.0.get_ref().shutdown(Shutdown::Write).unwrap();
        } else {
            drop(client);
        }
        stage.goes_on();
        stage.says("reason=\"closed by client\"");
        first.write(job("b5", "look", "open", PATIENT, ""));
        assert_eq!(id(&server.read().0), "b5");
    }
}

#[test]
fn a_client_that_left_as_its_server_broke_gets_no_further_relay() {
    let stage = Stage::start(2, 200);
    let agent = Agent::tells(&stage.agent, &[stage.host(1, "in_service")]);
    agent.has_told();
    let mut client = stage.client();
    client.write(job("b6", "look", "open", PATIENT, ""));
    let mut other = stage.server(1);
    other.read();
    other.answer("200 OK", "ready");
    assert_eq!(client.read().1, b"ready");
    agent.tell(&[stage.host(0, "in_service"), stage.host(1, "in_service")]);
    // Customers differ in the order of their servers: the first one that prefers the other server.
    other.0.get_ref().set_read_timeout(Some(Duration::from_millis(100))).unwrap();
    let mut first = None;
    for customer in 0..64 {
        let asks = job(&format!("c{customer}"), "look", "open", PATIENT, "");
        client.write(of_customer(customer, asks));
        stage.servers[0].set_nonblocking(true).unwrap();
        comes(|| {
            first = stage.servers[0].accept().ok().map(|accepted| accepted.0);
            first.is_some() || other.0.fill_buf().is_ok_and(|bytes| !bytes.is_empty())
        });
        if first.is_some() {
            break;
        }
        other.read();
        other.answer("200 OK", "not yet");
        client.read();
    }
    let stream = first.expect("no customer prefers the other server");
    stream.set_nonblocking(false).unwrap();
    let mut first = End::new(stream);
    let read = Instant::now();
    first.read();
    pass(read, 50);
    stage.signal("-STOP");
    drop(first);
    drop(client);
    stage.goes_on();
    stage.says("reason=\"closed by client\"");
    stage.log();
    let mut rest = Vec::new();
    other.0.get_ref().set_read_timeout(Some(Duration::from_secs(20))).unwrap();
    other.0.read_to_end(&mut rest).unwrap();
    assert!(rest.is_empty(), "{}", String::from_utf8_lossy(&rest));
}

// The stop.

#[test]
fn connections_that_wait_at_the_listener_when_a_stop_closes_it_are_answered() {
    // Room for sixteen connections, nine of them of clients: most of these are not accepted when the time is over.
    let stage = Stage::start(1, 40);
    stage.is_ready();
    serve(&stage.servers[0], "ok".to_string());
    stage.signal("-TERM");
    stage.says("stopping");
    let stopping = Instant::now();
    stage.signal("-STOP");
    let mut clients: Vec<End> = (0..40).map(|_| stage.client()).collect();
    for (number, client) in clients.iter_mut().enumerate() {
        client.write(job(&format!("d{number}"), "look", "open", PATIENT, ""));
    }
    pass(stopping, 500);
    stage.goes_on();
    let answers: Vec<String> = clients.into_iter().map(|mut client| client.status()).collect();
    assert!(answers.iter().all(|it| ["200", "429", "503"].contains(&it.as_str())), "{answers:?}");
}

#[test]
fn a_stop_ends_though_clients_come_without_end() {
    // Room for sixteen connections; there are always more that wait.
    let mut stage = Stage::start(1, 40);
    stage.is_ready();
    let (over, at) = (std::sync::atomic::AtomicBool::new(false), stage.at);
    let order = std::sync::atomic::Ordering::Relaxed;
    let ended = std::thread::scope(|scope| {
        scope.spawn(|| {
            let mut idle: Vec<TcpStream> = Vec::new();
            while !over.load(order) {
                idle.retain(|it| {
                    let waits = |error: &std::io::Error| error.kind() == ErrorKind::WouldBlock;
                    (&mut &*it).read(&mut [0; 1]).is_err_and(|error| waits(&error))
                });
                while idle.len() < 60 {
                    // Refused once the listener is gone.
                    let Ok(stream) = TcpStream::connect(at) else { break };
                    stream.set_nonblocking(true).unwrap();
                    idle.push(stream);
                }
                std::thread::sleep(Duration::from_millis(5));
            }
        });
        stage.says("reason=\"crowded\"");
        stage.signal("-TERM");
        let ended = comes(|| stage.child.try_wait().unwrap().is_some_and(|status| status.success()));
        over.store(true, order);
        ended
    });
    assert!(ended, "it never stopped");
}

#[test]
fn a_request_that_crosses_the_end_of_a_resting_connection_is_not_sent_on() {
    let mut stage = Stage::start(1, 200);
    let mut client = stage.client();
    client.write(job("e0", "book", "open", PATIENT, "x"));
    let mut server = stage.server(0);
    server.read();
    server.answer("200 OK", "once");
    assert_eq!(client.read().1, b"once");
    stage.signal("-TERM");
    client.ends();
    client.write(job("e1", "book", "open", PATIENT, "y"));
    // It was read over: nothing of it is with the server when the gateway has gone.
    assert!(stage.child.wait().unwrap().success());
    server.ends();
}

#[test]
fn a_request_that_crosses_the_end_of_an_unused_connection_is_not_sent_on() {
    let stage = Stage::start(1, 200);
    let mut client = stage.client();
    client.write(job("e2", "book", "open", PATIENT, "x"));
    let mut server = stage.server(0);
    server.read();
    server.answer("200 OK", "once");
    assert_eq!(client.read().1, b"once");
    client.ends();
    client.write(job("e3", "book", "open", PATIENT, "y"));
    // Answered once that was taken in.
    stage.is_ready();
    drop(client);
    // Only its sending was ended: closed over what came, it would be a reset.
    stage.says("stage=Ended");
    stage.log();
    server.ends();
}

#[test]
fn a_request_that_comes_before_the_end_of_its_resting_connection_is_served() {
    let stage = Stage::start(1, 200);
    serve(&stage.servers[0], "ok".to_string());
    let mut client = stage.client();
    client.write(job("e4", "book", "open", PATIENT, "x"));
    assert_eq!(client.status(), "200");
    stage.signal("-TERM");
    stage.says("stopping");
    let stopping = Instant::now();
    stage.signal("-STOP");
    client.write(job("e5", "book", "open", PATIENT, "y"));
    pass(stopping, 500);
    stage.goes_on();
    // Served, or refused where the stop is too far on; it was taken before the connection's end.
    let status = client.status();
    assert!(status == "200" || status == "503", "{status}");
    client.ends();
}

#[test]
fn a_request_that_comes_whole_too_late_in_a_stop_is_refused_and_not_sent_on() {
    let mut stage = Stage::start(1, 200);
    stage.is_ready();
    let mut client = stage.client();
    let whole = job("e6", "book", "open", PATIENT, "x");
    let (begin, rest) = whole.split_at(whole.len() / 2);
    client.write(begin);
    // The loop has read the half before the signal.
    stage.is_ready();
    stage.signal("-TERM");
    stage.says("stopping");
    pass(Instant::now(), 700);
    client.write(rest);
    // Where the machine is slow, its time to come whole may be over first.
    let status = client.status();
    assert!(status == "503" || status == "408", "{status}");
    client.ends();
    drop(client);
    assert!(stage.child.wait().unwrap().success());
    stage.servers[0].set_nonblocking(true).unwrap();
    assert!(stage.servers[0].accept().is_err(), "it dialled for a job that it refused");
}

// Lists.

#[test]
fn a_list_takes_effect_before_what_came_with_it() {
    let stage = Stage::start(2, 200);
    let agent = Agent::tells(&stage.agent, &[stage.host(0, "in_service")]);
    agent.has_told();
    let mut client = stage.client();
    client.write(job("f0", "book", "open", PATIENT, "x"));
    let mut draining = stage.server(0);
    draining.read();
    draining.answer("200 OK", "once");
    assert_eq!(client.read().1, b"once");
    agent.stops(&stage);
    client.write(job("f1", "book", "open", PATIENT, "y"));
    agent.tell(&[stage.host(0, "terminating"), stage.host(1, "in_service")]);
    agent.has_told();
    stage.goes_on();
    let mut server = stage.server(1);
    assert_eq!(id(&server.read().0), "f1");
    server.answer("200 OK", "there");
    assert_eq!(client.read().1, b"there");
    draining.ends();
}

#[test]
fn the_known_list_waits_for_what_discovery_has() {
    // The list known at the start has one server alone, which drains by now.
    let known = |text: String| {
        let from = text.find(r#",{"host":"s-1""#).unwrap();
        let to = from + text[from..].find('}').unwrap() + 1;
        text.replace(&text[from..to], "")
    };
    let held = (0..20).find_map(|_| {
        let started = Instant::now();
        let stage = Stage::with(2, 200, known);
        let mut client = stage.client();
        client.write(job("f2", "book", "open", PATIENT, "x"));
        // Answered after the job was taken in.
        let mut probe = stage.client();
        probe.write("GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n");
        let waits = probe.status() == "503";
        stage.signal("-STOP");
        // Discovery is waited for half a second, which a slow machine may have taken by now.
        (waits && started.elapsed() < Duration::from_millis(400)).then_some((stage, client))
    });
    let (stage, mut client) = held.expect("it never waits for discovery");
    let agent = Agent::tells(&stage.agent, &[stage.host(0, "terminating"), stage.host(1, "in_service")]);
    agent.has_told();
    stage.goes_on();
    let mut server = stage.server(1);
    assert_eq!(id(&server.read().0), "f2");
    server.answer("200 OK", "there");
    assert_eq!(client.read().1, b"there");
    stage.servers[0].set_nonblocking(true).unwrap();
    assert!(stage.servers[0].accept().is_err(), "it dialled a server that drains");
}

#[test]
fn an_older_list_does_not_undo_a_newer_one_unless_it_stays() {
    let stage = Stage::start(2, 200);
    let mut agent = accept(&stage.agent);
    agent.read();
    let list = |seq, health| list(&stage, seq, health);
    agent.answer("200 OK", &list(45, "terminating"));
    agent.read();
    agent.answer("200 OK", &list(44, "in_service"));
    agent.ends();
    // It asks for the whole list, and goes on as before meanwhile.
    let mut agent = accept(&stage.agent);
    assert!(agent.read().0.starts_with("get /api/targets http/1.1\r\n"));
    all_go_to(&stage, 1);
    // Versions that began anew are believed once no others come: a list that is, is followed by a watch.
    let mut asked = 0;
    loop {
        agent.answer("200 OK", &list(2, "in_service"));
        if agent.0.fill_buf().is_ok_and(|bytes| !bytes.is_empty()) {
            assert!(agent.read().0.contains("from=2&"));
            break;
        }
        asked += 1;
        assert!(asked < 200, "it never believes the versions that began anew");
        agent = accept(&stage.agent);
        assert!(agent.read().0.starts_with("get /api/targets http/1.1\r\n"));
    }
    assert!(asked > 0);
}

#[test]
fn a_list_that_never_ends_is_asked_for_again() {
    let stage = Stage::start(2, 200);
    let mut trickles = accept(&stage.agent);
    trickles.read();
    trickles.write("HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n");
    let trickling = std::thread::spawn(move || {
        let stream = trickles.0.get_mut();
        while stream.write_all(b" ").is_ok() {
            std::thread::sleep(Duration::from_millis(20));
        }
    });
    let agent = Agent::tells(&stage.agent, &[stage.host(0, "terminating"), stage.host(1, "in_service")]);
    agent.has_told();
    trickling.join().unwrap();
    all_go_to(&stage, 1);
}

#[test]
fn a_list_far_larger_than_any_request_is_read_whole() {
    let stage = Stage::start(2, 200);
    let agent = Agent::tells(
        &stage.agent,
        &[stage.host(0, "terminating"), " ".repeat(300 * 1024) + &stage.host(1, "in_service")],
    );
    agent.has_told();
    all_go_to(&stage, 1);
}

#[test]
fn a_list_whose_connection_breaks_behind_it_counts() {
    let stage = Stage::start(2, 200);
    let mut agent = accept(&stage.agent);
    agent.read();
    stage.signal("-STOP");
    agent.answer("200 OK", &list(&stage, 45, "terminating"));
    agent.resets();
    stage.goes_on();
    // The broken connection is seen behind the list on it.
    stage.says("side=\"discovery\"");
    all_go_to(&stage, 1);
}

#[test]
fn the_first_list_of_another_agent_counts_whatever_its_version() {
    let stage = Stage::start(2, 200);
    let mut agent = accept(&stage.agent);
    agent.read();
    let next = listener();
    stage.moves(&stage.agent, &next);
    stage.signal("-HUP");
    agent.ends();
    let mut agent = accept(&next);
    agent.read();
    agent.answer("200 OK", &list(&stage, 2, "terminating"));
    // An accepted list is followed by a watch on the same connection.
    assert!(agent.read().0.contains("from=2&"));
    all_go_to(&stage, 1);
}

#[test]
fn refused_and_silent_watches_are_begun_anew_until_discovery_is_back() {
    let stage = Stage::start(2, 200);
    let mut agent = accept(&stage.agent);
    agent.read();
    // A new configuration names an agent that is not there yet.
    let back = unheard();
    stage.moves(&stage.agent, &back);
    stage.signal("-HUP");
    agent.ends();
    stage.says_often("side=\"discovery\"", 4);
    // Back, it accepts and says nothing at first.
    rustix::net::listen(&back, 128).unwrap();
    let mut silent = accept(&back);
    silent.read();
    let agent = Agent::tells(&back, &[stage.host(0, "terminating"), stage.host(1, "in_service")]);
    agent.has_told();
    silent.ends();
    all_go_to(&stage, 1);
}

// Descriptors.

#[test]
fn idle_clients_that_fill_the_descriptors_keep_nobody_from_their_work() {
    // Room for sixteen connections, as its file says or as the system does where the file tells of more.
    for told in ["\"sockets\":40", "\"sockets\":4000"] {
        let stage = Stage::with(1, 40, |text| text.replace("\"sockets\":40", told));
        // Discovery is down, and the table is full before it is back.
        let idle: Vec<End> = (0..60).map(|_| stage.client()).collect();
        stage.says("reason=\"crowded\"");
        let agent = Agent::tells(&stage.agent, &[stage.host(0, "in_service")]);
        agent.has_told();
        serve(&stage.servers[0], "ok".to_string());
        count(&stage.counter);
        let mut client = stage.client();
        client.write(job("g0", "look", "team", PATIENT, ""));
        assert_eq!(client.status(), "200");
        assert!(stage.descriptors() <= 40);
        drop(idle);
    }
}

// Connections to servers.

#[test]
fn an_answer_that_breaks_off_is_none() {
    let stage = Stage::start(1, 200);
    let mut client = stage.client();
    // Without a length, a reset is no end.
    client.write(job("h0", "book", "open", PATIENT, "x"));
    let mut server = stage.server(0);
    server.read();
    server.write("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart of it");
    server.resets();
    assert_eq!(client.status(), "502");
    // An orderly end is one, if the head says that the connection ends.
    for (connection, status) in [("Connection: close\r\n", "200"), ("", "502")] {
        client.write(job("h1", "book", "open", PATIENT, "x"));
        let mut server = stage.server(0);
        server.read();
        server.write(format!("HTTP/1.1 200 OK\r\n{connection}\r\nall of it"));
        drop(server);
        assert_eq!(client.status(), status, "{connection:?}");
    }
}

/// Guards against a part of a body passed on as the whole one: the reset failed the upload before it could fail a read.
#[test]
fn an_early_answer_to_an_upload_that_breaks_off_is_none() {
    let stage = Stage::start(1, 200);
    // The upload does not fit into the buffers of a connection with small segments and a small window.
    let listener = SockRef::from(&stage.servers[0]);
    listener.set_tcp_mss(536).unwrap();
    listener.set_recv_buffer_size(2_048).unwrap();
    let mut client = stage.client();
    client.write(job("h4", "book", "open", PATIENT, &"u".repeat(60_000)));
    let mut server = stage.server(0);
    server.write("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart of it");
    std::thread::sleep(Duration::from_millis(50));
    server.resets();
    // Refused: a server begins a request once its last byte has come.
    assert_eq!(client.status(), "429");
}

/// Guards against an answer whose head is spoilt passed on with a body that is not the server's.
#[test]
fn an_answer_whose_head_is_spoilt_is_none() {
    let heads = [
        "HTTP/1.1 200 OK\r\nContent-Length : 9",
        "HTTP/1.1 200 OK\r\nX A: b\r\nContent-Length: 9",
        "HTTP/1.1 200 OK\r\nX\u{1}: b\r\nContent-Length: 9",
        "HTTP/1.1 200 OK\r\nno field\r\nContent-Length: 9",
        "HTTP/1.1 200 OK\r\nContent-Length: 2 ",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 9",
        "HTTP/1.1 200 OK\r\nConnection: close\r\nTransfer-Encoding: identity",
        "HTTP/1.1 200 OK\r\nConnection: close\r\nX: b\n\nContent-Length: 9",
        "HTTP/1.1 200 OK\r\nContent-Lexgth: 9",
        "HTTP/1.1 000 OK\r\nContent-Length: 9",
    ];
    for head in heads {
        let stage = Stage::start(1, 200);
        let mut client = stage.client();
        client.write(job("h5", "book", "open", PATIENT, "x"));
        let mut server = stage.server(0);
        server.read();
        server.write(format!("{head}\r\n\r\nall of it"));
        drop(server);
        assert_eq!(client.status(), "502", "{head:?}");
    }
}

#[test]
fn an_answer_that_never_ends_is_waited_for_as_long_as_its_job_has() {
    let stage = Stage::start(1, 200);
    stage.is_ready();
    let mut client = stage.client();
    client.write(job("h2", "soon", "open", "900", "x"));
    let mut server = stage.server(0);
    server.read();
    server.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    let trickling = std::thread::spawn(move || {
        let stream = server.0.get_mut();
        while stream.write_all(b"1\r\nx\r\n").is_ok() {
            std::thread::sleep(Duration::from_millis(20));
        }
    });
    assert_eq!(client.status(), "502");
    trickling.join().unwrap();
}

#[test]
fn a_resting_connection_that_closed_or_spoke_as_a_job_came_is_not_used() {
    for speaks in [false, true] {
        let stage = Stage::start(1, 200);
        let mut client = stage.client();
        client.write(job("h3", "book", "open", PATIENT, "x"));
        let mut server = stage.server(0);
        server.read();
        server.answer("200 OK", "once");
        assert_eq!(client.read().1, b"once");
        stage.signal("-STOP");
        client.write(job("h4", "book", "open", PATIENT, "y"));
        if speaks {
            server.write("HTTP/1.1 2");
        } else {
            server.0.get_ref().shutdown(Shutdown::Both).unwrap();
        }
        stage.goes_on();
        let mut second = stage.server(0);
        assert_eq!(id(&second.read().0), "h4");
        second.answer("200 OK", "twice");
        assert_eq!(client.read().1, b"twice");
    }
}

// Retries.

#[test]
fn a_job_that_may_not_run_twice_goes_again_only_where_it_surely_never_ran() {
    let stage = Stage::start(2, 200);
    let agent = Agent::tells(&stage.agent, &[stage.host(0, "in_service")]);
    agent.has_told();
    let mut client = stage.client();
    // Turned away without being looked at, it goes elsewhere.
    client.write(job("k0", "book", "open", PATIENT, "x"));
    let mut first = stage.server(0);
    first.read();
    agent.stops(&stage);
    agent.tell(&[stage.host(0, "in_service"), stage.host(1, "in_service")]);
    agent.has_told();
    first.write("HTTP/1.1 503 Busy\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n");
    stage.goes_on();
    let mut second = stage.server(1);
    assert_eq!(id(&second.read().0), "k0");
    // Broken after its last byte, it does not.
    second.resets();
    assert_eq!(client.status(), "502");
    drop(client);
    stage.log();
    first.ends();
}
