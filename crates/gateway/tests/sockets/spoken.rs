//! What is spoken with clients, servers, the counter and discovery, one thing at a time.

use crate::stage::{
    accept, address, comes, count, heard, host, job, listener, serve, signal, End, Stage, PATIENT,
};
use std::io::{BufRead, Read, Write};
use std::net::{Shutdown, TcpStream, UdpSocket};
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

#[test]
fn a_job_and_its_answer_pass_unchanged_in_pieces_and_whole() {
    let stage = Stage::start(1, 200);
    let mut client = stage.client();
    for byte in job("00aa", "post", "open", PATIENT, "grid").bytes() {
        client.write([byte]);
    }
    let mut server = stage.server(0);
    let (head, body) = server.read();
    assert!(head.starts_with("post /api?q=1 http/1.1\r\n"), "{head}");
    assert!(head.contains("x-correlation-id: 00aa\r\n") && head.contains("idempotency-key: k-00aa\r\n"));
    assert_eq!((head.matches("x-time-left-ms: 14").count(), body.as_slice()), (1, &b"grid"[..]));
    for byte in b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n" {
        server.write([*byte]);
    }
    assert_eq!(client.read().1, b"abcde");
    // An answer far larger than any request may be.
    let huge = "z".repeat(3 * 1024 * 1024);
    client.write(job("00ac", "book", "open", PATIENT, "huge"));
    server.read();
    server.answer("200 OK", &huge);
    assert_eq!(client.read().1, huge.as_bytes());
    // The largest bodies, both ways, on the same two connections.
    let large = "x".repeat(64 * 1024);
    client.write(job("00ab", "book", "open", PATIENT, &large));
    assert_eq!(server.read().1, large.as_bytes());
    server.answer("200 OK", &large);
    assert_eq!(client.read().1, large.as_bytes());
}

#[test]
fn requests_written_behind_one_another_are_answered_in_order() {
    let stage = Stage::start(1, 200);
    let mut client = stage.client();
    let ready = "GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n";
    client.write(format!(
        "{}{ready}{}",
        job("01", "look", "open", PATIENT, ""),
        job("02", "look", "open", PATIENT, "")
    ));
    let mut server = stage.server(0);
    assert!(server.read().0.contains("x-correlation-id: 01\r\n"));
    server.answer("200 OK", "one");
    assert_eq!(client.read().1, b"one");
    assert_eq!(client.status(), "200");
    assert!(server.read().0.contains("x-correlation-id: 02\r\n"));
    server.answer("200 OK", "two");
    assert_eq!(client.read().1, b"two");
}

#[test]
fn what_cannot_be_read_gets_its_status_and_a_close() {
    let stage = Stage::start(1, 200);
    let sound = job("03", "post", "open", PATIENT, "grid");
    let cases = [
        ("NONSENSE\r\n\r\n".to_string(), "400"),
        (sound.replace("POST", "DELETE"), "405"),
        (sound.replace("Content-Length: 4", "Content-Length: 65537"), "413"),
        (sound.replace("Content-Length: 4", "Content-Length: -4"), "400"),
        (sound.replace("Content-Length: 4", "Content-Length: 4\r\nContent-Length: 5"), "400"),
        (sound.replace("Content-Length: 4", "Transfer-Encoding: gzip"), "501"),
        (sound.replace("Content-Length: 4", "Transfer-Encoding: chunked").replace("grid", "zz\r\n"), "400"),
        (sound.replace("Host: app.svc", &format!("X: {}", "y".repeat(17 * 1024))), "431"),
        (sound.replace("units=2", "units=nan"), "400"),
        (sound.replace("units=2", "units=-1"), "400"),
        (sound.replace("units=2", "units=0"), "400"),
        (sound.replace("units=2", "units=7"), "400"),
        (sound.replace("spread=1", "spread=2"), "400"),
        (sound.replace("first=0", "first=1"), "400"),
        (sound.replace("account=0", "account="), "400"),
        (sound.replace("X-Tier: open", "X-Tier: open\r\nX-Tier: team"), "400"),
        (sound.replace("X-Time-Left-Ms: ", "X-Time-Left-Ms: about "), "400"),
        (sound.replace("POST /api", "POST api"), "400"),
        (sound.replace("X-Service-Class: post", "X-Service-Class: look"), "400"),
        (sound.replace("Content-Length: 4", "Content-Length: 4\r\nTransfer-Encoding: chunked"), "400"),
        (sound.replace("account=0", "account=f"), "400"),
        (sound.replace("X-Tier: open", "X-Tier: none"), "400"),
        (sound.replace("Idempotency-Key", "Idempotency"), "400"),
    ];
    for (request, status) in cases {
        let mut client = stage.client();
        client.write(&request);
        assert_eq!(client.status(), status, "{}", &request[..request.len().min(300)]);
        client.ends();
    }
    let log = stage.log();
    assert_eq!(log.matches("reason=\"Content Too Large\"").count(), 1, "{log}");
}

#[test]
fn clients_that_say_nothing_or_half_or_too_much_are_closed() {
    let stage = Stage::start(1, 200);
    let (mut silent, mut half, mut endless) = (stage.client(), stage.client(), stage.client());
    half.write("POST /api HTTP/1.1\r\nX-Tier: ");
    // Far more than the connection's buffers hold: it cannot all be written unless it is all read.
    endless.write(job("90", "post", "open", PATIENT, "x").replace("Length: 1\r\n", "Length: 600000000\r\n"));
    let mut other = endless.0.get_ref().try_clone().unwrap();
    let begun = Instant::now();
    while other.write_all(&[b'x'; 64 * 1024]).is_ok() {
        assert!(begun.elapsed() < Duration::from_secs(20), "it reads on and on");
    }
    assert_eq!(half.status(), "408");
    half.ends();
    silent.ends();
}

#[test]
fn a_client_that_had_sent_far_too_much_when_it_was_first_heard_is_closed() {
    let stage = Stage::start(1, 200);
    stage.signal("-STOP");
    let mut endless = stage.client();
    endless.write(job("9f", "post", "open", PATIENT, "x"));
    let (written, over) = (AtomicUsize::new(0), AtomicBool::new(false));
    let mut other = endless.0.get_ref().try_clone().unwrap();
    std::thread::scope(|scope| {
        let writing = scope.spawn(|| {
            while !over.load(Ordering::Relaxed) && other.write_all(&[b'x'; 64 * 1024]).is_ok() {
                written.fetch_add(1, Ordering::Relaxed);
            }
            !over.load(Ordering::Relaxed)
        });
        // Until the buffers between are full.
        let mut before = usize::MAX;
        assert!(comes(|| {
            std::thread::sleep(Duration::from_millis(50));
            std::mem::replace(&mut before, written.load(Ordering::Relaxed)) == written.load(Ordering::Relaxed)
        }));
        stage.goes_on();
        let closed = comes(|| writing.is_finished());
        over.store(true, Ordering::Relaxed);
        assert!(closed && writing.join().unwrap(), "it reads on and on");
    });
}

#[test]
fn silent_clients_make_room_for_one_that_speaks() {
    // Room for sixteen connections, nine of them of clients.
    let stage = Stage::start(1, 40);
    serve(&stage.servers[0], "ok".to_string());
    let silent: Vec<End> = (0..9).map(|_| stage.client()).collect();
    std::thread::sleep(Duration::from_millis(400));
    let mut client = stage.client();
    client.write(job("91", "look", "open", PATIENT, ""));
    assert_eq!(client.status(), "200");
    drop(silent);
}

#[test]
fn the_id_of_an_open_job_is_not_passed_on_twice() {
    let stage = Stage::start(1, 200);
    let (mut client, mut copy) = (stage.client(), stage.client());
    client.write(job("92", "look", "open", PATIENT, ""));
    let mut server = stage.server(0);
    server.read();
    copy.write(job("92", "look", "open", PATIENT, ""));
    assert_eq!(copy.status(), "409");
    server.answer("200 OK", "once");
    assert_eq!(client.read().1, b"once");
}

#[test]
fn what_comes_behind_an_answer_is_not_the_next_jobs() {
    let stage = Stage::start(1, 200);
    let mut client = stage.client();
    client.write(job("93", "book", "open", PATIENT, "x"));
    let mut server = stage.server(0);
    server.read();
    server.answer("200 OK", "mine");
    assert_eq!(client.read().1, b"mine");
    // The next job is heard of first, though the copy has come as well.
    stage.signal("-STOP");
    client.write(job("94", "book", "open", PATIENT, "y"));
    server.answer("200 OK", "mine");
    stage.goes_on();
    let mut server = stage.server(0);
    server.read();
    server.answer("200 OK", "next");
    assert_eq!(client.read().1, b"next");
}

#[test]
fn an_effectful_job_is_sent_once_and_a_pure_one_again() {
    let stage = Stage::start(2, 200);
    let mut client = stage.client();
    for (band, body) in [("book", "x"), ("look", "")] {
        client.write(job("04", band, "open", PATIENT, body));
        // Whichever server has it reads it whole, then its machine resets the connection.
        for listener in &stage.servers {
            listener.set_nonblocking(true).unwrap();
        }
        let mut which = None;
        while which.is_none() {
            which = (0..2).find_map(|n| stage.servers[n].accept().ok().map(|accepted| (n, accepted.0)));
        }
        let (first, stream) = which.unwrap();
        stream.set_nonblocking(false).unwrap();
        let mut server = End::new(stream);
        server.read();
        drop(server);
        if band == "book" {
            assert_eq!(client.status(), "502");
            continue;
        }
        let other = &stage.servers[1 - first];
        other.set_nonblocking(false).unwrap();
        let mut server = stage.server(1 - first);
        server.read();
        server.answer("200 OK", "seen");
        assert_eq!(client.read().1, b"seen");
    }
}

#[test]
fn a_relay_waited_for_long_enough_has_its_connection_closed() {
    let stage = Stage::start(1, 200);
    let mut client = stage.client();
    // The short job below must not wait for what discovery, silent here, may have to say of the known list.
    stage.is_ready();
    // Too little time for a job that is wanted in twelve seconds: answered at once, and nothing sent.
    client.write(job("05", "look", "open", "0", ""));
    assert_eq!(client.status(), "429");
    client.write(job("06", "soon", "open", "500", "x"));
    let mut server = stage.server(0);
    server.read();
    assert_eq!(client.status(), "502");
    server.ends();
}

#[test]
fn the_answer_to_a_client_that_went_is_nobody_elses() {
    let stage = Stage::start(1, 200);
    let mut client = stage.client();
    client.write(job("06", "book", "open", PATIENT, "x"));
    let mut server = stage.server(0);
    server.read();
    // The client goes; the relay is no one's, and its late answer is nobody's either.
    drop(client);
    let mut client = stage.client();
    client.write(job("07", "book", "open", PATIENT, "y"));
    let mut second = stage.server(0);
    second.read();
    server.answer("200 OK", "late");
    second.answer("200 OK", "mine");
    assert_eq!(client.read().1, b"mine");
}

#[test]
fn a_server_that_turns_away_has_not_run_the_job() {
    let stage = Stage::start(1, 200);
    let mut client = stage.client();
    client.write(job("08", "book", "open", PATIENT, "x"));
    let mut server = stage.server(0);
    server.read();
    server.write("HTTP/1.1 503 Busy\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n");
    assert_eq!(client.status(), "429");
    // A 503 without that word may have run it.
    client.write(job("09", "book", "open", PATIENT, "x"));
    server.read();
    server.write("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
    assert_eq!(client.status(), "502");
    // So may an answer beyond all memory, and one that is none.
    client.write(job("0f", "book", "open", PATIENT, "x"));
    server.read();
    server.write("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nxxx");
    assert_eq!(client.status(), "502");
    server.ends();
    client.write(job("0a", "book", "open", PATIENT, "x"));
    let mut server = stage.server(0);
    server.read();
    server.write("SMTP ready\r\n\r\n");
    assert_eq!(client.status(), "502");
    server.ends();
}

#[test]
fn no_answer_of_the_counter_is_lost_or_misread_after_a_reset() {
    let stage = Stage::start(1, 200);
    let mut client = stage.client();
    client.write(job("0b", "look", "team", PATIENT, ""));
    let mut counter = accept(&stage.counter);
    let mut line = String::new();
    counter.0.read_line(&mut line).unwrap();
    let words: Vec<&str> = line.split_whitespace().collect();
    assert_eq!((words[0], words[1].len(), words[2], words[3]), ("bump", 16, "2.0000", "60000"));
    // The machine goes with the call; what it said of an earlier one is no answer to the next.
    counter.write("ok ");
    drop(counter);
    count(&stage.counter);
    let mut server = stage.server(0);
    server.read();
    server.answer("200 OK", "counted");
    assert_eq!(client.read().1, b"counted");
    // An answer that fits no call ends the connection, not the program.
    client.write(job("0c", "look", "team", PATIENT, ""));
    server.read();
    server.answer("200 OK", "again");
    assert_eq!(client.read().1, b"again");
}

#[test]
fn spoilt_answers_of_the_counter_end_their_calls_and_their_connection() {
    // With no number, with no end, and with no line to come.
    for noise in ["HTTP/1.1 500 Oops\r\n", "ok many\r\n", "ok 1\u{1}", "\u{0}\u{7}"] {
        let stage = Stage::start(1, 200);
        serve(&stage.servers[0], "ok".to_string());
        let mut client = stage.client();
        client.write(job("c0", "look", "team", PATIENT, ""));
        let mut counter = accept(&stage.counter);
        counter.0.read_line(&mut String::new()).unwrap();
        counter.write(noise);
        counter.closes();
        count(&stage.counter);
        assert_eq!(client.status(), "200");
    }
}

#[test]
fn calls_leave_a_connection_to_the_counter_that_fell_silent() {
    let stage = Stage::start(1, 200);
    serve(&stage.servers[0], "ok".to_string());
    // The connection stays open and says nothing; the calls of a few jobs come on another.
    let mut client = stage.client();
    for number in 0..3 {
        client.write(job(&format!("e{number}"), "look", "team", PATIENT, ""));
        assert_eq!(client.status(), "200");
    }
    let mut silent = accept(&stage.counter);
    let mut line = String::new();
    silent.0.read_line(&mut line).unwrap();
    line.clear();
    accept(&stage.counter).0.read_line(&mut line).unwrap();
    assert!(line.starts_with("bump "), "{line}");
}

#[test]
fn addresses_move_when_the_file_is_read_anew_and_nothing_is_lost() {
    let stage = Stage::start(1, 200);
    serve(&stage.servers[0], "ok".to_string());
    let mut agent = accept(&stage.agent);
    agent.read();
    let mut client = stage.client();
    client.write(job("d0", "look", "team", PATIENT, ""));
    let mut counter = accept(&stage.counter);
    counter.0.read_line(&mut String::new()).unwrap();
    // A file that cannot be read changes nothing.
    let text = std::fs::read_to_string(&stage.configuration).unwrap();
    std::fs::write(&stage.configuration, &text[..text.len() / 2]).unwrap();
    stage.signal("-HUP");
    let (next_agent, next_counter) = (listener(), listener());
    let moved = [(&stage.agent, &next_agent), (&stage.counter, &next_counter)];
    let text = moved.iter().fold(text, |text, (from, to)| {
        text.replace(&from.local_addr().unwrap().to_string(), &to.local_addr().unwrap().to_string())
    });
    let next = stage.configuration.with_extension("next");
    std::fs::write(&next, text).unwrap();
    std::fs::rename(next, &stage.configuration).unwrap();
    stage.signal("-HUP");
    agent.ends();
    let mut agent = accept(&next_agent);
    assert!(agent.read().0.starts_with("get /api/targets http/1.1\r\n"));
    // The call that was out is answered where it was made; the connection ends with it, or with its time.
    let _ = counter.0.get_mut().write_all(b"ok 2\r\n");
    assert_eq!(client.status(), "200");
    counter.closes();
    client.write(job("d1", "look", "team", PATIENT, ""));
    let mut counter = accept(&next_counter);
    counter.0.read_line(&mut String::new()).unwrap();
    counter.write("ok 2\r\n");
    assert_eq!(client.status(), "200");
    assert!(stage.log().contains("configuration read anew"));
}

#[test]
fn jobs_go_on_while_the_counter_says_nothing() {
    let stage = Stage::start(1, 200);
    let mut client = stage.client();
    client.write(job("0d", "look", "team", PATIENT, ""));
    let mut counter = accept(&stage.counter);
    counter.0.read_line(&mut String::new()).unwrap();
    let mut server = stage.server(0);
    server.read();
    server.answer("200 OK", "alone");
    assert_eq!(client.read().1, b"alone");
}

#[test]
fn a_customer_that_changed_its_plan_is_held_to_the_new_one() {
    let stage = Stage::start(1, 200);
    serve(&stage.servers[0], "ok".to_string());
    let mut client = stage.client();
    client.write(job("ca", "look", "open", PATIENT, ""));
    assert_eq!(client.status(), "200");
    client.write(job("cb", "look", "team", PATIENT, ""));
    let mut counter = accept(&stage.counter);
    let mut line = String::new();
    counter.0.read_line(&mut line).unwrap();
    assert!(line.starts_with("bump "), "{line}");
    counter.write("ok 2\r\n");
    assert_eq!(client.status(), "200");
    // And back: nothing is counted of a plan without a quota.
    drop(counter);
    client.write(job("cc", "look", "open", PATIENT, ""));
    assert_eq!(client.status(), "200");
}

#[test]
fn the_watch_goes_on_from_the_known_list_and_is_renewed_at_once() {
    let stage = Stage::start(2, 200);
    let mut agent = accept(&stage.agent);
    assert!(agent.read().0.starts_with("get /api/targets?from=41&hold_ms="));
    // One server goes: only the other gets jobs.
    let dial = stage.servers[0].local_addr().unwrap();
    let change = format!(r#"{{"seq":43,"whole":false,"hosts":[{}]}}"#, host(0, dial, "terminating"));
    agent.answer("200 OK", &change);
    assert!(agent.read().0.starts_with("get /api/targets?from=43&hold_ms="));
    let mut clients: Vec<End> = (0..8).map(|_| stage.client()).collect();
    for (number, client) in clients.iter_mut().enumerate() {
        client.write(job(&format!("1{number}"), "look", "open", PATIENT, ""));
        let mut server = stage.server(1);
        server.read();
        server.write("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
        assert_eq!(client.status(), "200");
    }
    // What cannot be read, and a broken watch, are followed by the whole list.
    agent.answer("200 OK", "{");
    let mut agent = accept(&stage.agent);
    assert!(agent.read().0.starts_with("get /api/targets http/1.1\r\n"));
}

#[test]
fn a_watch_that_falls_silent_is_begun_anew() {
    let stage = Stage::start(1, 200);
    let mut silent = accept(&stage.agent);
    assert!(silent.read().0.starts_with("get /api/targets?from=41&hold_ms="));
    let mut agent = accept(&stage.agent);
    assert!(agent.read().0.starts_with("get /api/targets?from=41&hold_ms="));
    silent.ends();
}

#[test]
fn a_stop_answers_what_was_taken_and_takes_what_still_comes() {
    let mut stage = Stage::start(1, 200);
    let (mut idle, mut client, mut ready) = (stage.client(), stage.client(), stage.client());
    client.write(job("20", "book", "open", PATIENT, "x"));
    let mut server = stage.server(0);
    server.read();
    stage.signal("-TERM");
    // It may be asked before it has the signal; once it has, it is not ready, and closes.
    ready.write("GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n");
    while ready.status() == "200" {
        ready.write("GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n");
    }
    ready.ends();
    idle.write(job("21", "book", "open", PATIENT, "y"));
    let mut second = stage.server(0);
    second.read();
    second.answer("200 OK", "new");
    let (head, body) = idle.read();
    assert!(head.contains("connection: close") && body == b"new", "{head}");
    idle.ends();
    server.answer("200 OK", "old");
    assert_eq!(client.read().1, b"old");
    client.ends();
    drop((client, idle, ready));
    assert!(stage.child.wait().unwrap().success());
}

#[test]
fn connections_stay_within_the_descriptors_allowed_and_no_job_is_lost() {
    // Room for sixteen connections, nine of them of clients.
    let stage = Stage::start(1, 40);
    serve(&stage.servers[0], "ok".to_string());
    let mut clients: Vec<End> = (0..30).map(|_| stage.client()).collect();
    // All write at once; those beyond the room are dismissed, and none is left without an answer.
    for (number, client) in clients.iter_mut().enumerate() {
        client.write(job(&format!("3{number}"), "look", "open", PATIENT, ""));
    }
    let answers: Vec<String> = clients.iter_mut().map(End::status).collect();
    assert!(answers.iter().all(|status| status == "200" || status == "429"), "{answers:?}");
    assert!(answers.iter().any(|status| status == "200"), "{answers:?}");
    let files = stage.descriptors();
    assert!(files <= 40, "{files}");
    // Once the crowd has gone there is room again.
    drop(clients);
    let mut client = stage.client();
    client.write(job("3x", "look", "open", PATIENT, ""));
    while client.status() != "200" {
        client = stage.client();
        client.write(job("3y", "look", "open", PATIENT, ""));
    }
}

#[test]
fn one_slow_reader_holds_nobody_up() {
    let stage = Stage::start(1, 200);
    let mut slow = stage.client();
    serve(&stage.servers[0], "x".repeat(64 * 1024));
    // Far more than the sockets between hold; it reads none of it until others were served.
    let requests = 200;
    let ask = job("40", "look", "open", PATIENT, "");
    let mut writer = slow.0.get_ref().try_clone().unwrap();
    let writing = std::thread::spawn(move || (0..requests).all(|_| writer.write_all(ask.as_bytes()).is_ok()));
    let mut other = stage.client();
    other.write(job("41", "look", "open", PATIENT, ""));
    assert_eq!(other.read().1.len(), 64 * 1024);
    for _ in 0..requests {
        assert_eq!(slow.read().1.len(), 64 * 1024);
    }
    assert!(writing.join().unwrap());
    slow.0.get_ref().shutdown(Shutdown::Write).unwrap();
    slow.ends();
}

#[test]
fn a_gateway_that_stalled_takes_in_what_came_before_it_judges_lateness() {
    let stage = Stage::start(1, 200);
    let mut client = stage.client();
    client.write(job("50", "calm", "open", PATIENT, "x"));
    let mut server = stage.server(0);
    server.read();
    stage.signal("-STOP");
    server.answer("200 OK", "in time");
    // Past the job's target time, when a relay that hangs would be taken back.
    std::thread::sleep(Duration::from_millis(4_500));
    stage.goes_on();
    assert_eq!(client.read().1, b"in time");
}

/// Without the operator's file a gateway opens no door for datagrams and sends none; nor with it where the settings
/// refuse messages between gateways. The line that operators start it by names no such file.
#[test]
fn no_word_to_other_gateways_unless_operator_and_settings_want_it() {
    let run = include_str!("../../../../deploy/balancer.toml");
    let line = run.lines().find(|line| line.starts_with("run = ")).unwrap();
    assert!(!line.contains("--operator"), "{line}");
    let operator = std::env::temp_dir().join(format!("operator-{}.toml", std::process::id()));
    std::fs::write(&operator, "[membership]\non = true\ncounts = true\n").unwrap();
    // Whether the file is named, and whether the settings allow messages; all three must be there.
    for (named, allowed) in [(false, true), (true, false), (true, true)] {
        let (own, other) = (UdpSocket::bind("127.0.0.1:0").unwrap(), UdpSocket::bind("127.0.0.1:0").unwrap());
        let (listen, peer) = (own.local_addr().unwrap(), other.local_addr().unwrap());
        if named && allowed {
            // Its door, which the other two must leave alone.
            drop(own);
        }
        let agent = listener();
        let text = format!(
            r#"{{"name":"n0","listen":"127.0.0.1:0","discovery":"{}","seed":"1","peer_listen":"{listen}",
            "peers":["{listen}","{peer}"],"settings":{{"balancers":2,"self_index":0,"tick":1000,
            "extra":{{"mail_per_s":40.0}},"caps":{{"peers":{allowed}}}}}}}"#,
            agent.local_addr().unwrap()
        );
        let configuration =
            std::env::temp_dir().join(format!("members-{}-{}", std::process::id(), peer.port()));
        std::fs::write(&configuration, text).unwrap();
        let mut command = Command::new(env!("CARGO_BIN_EXE_fennelgauge-gateway"));
        command.env("BALANCER_CONFIG", &configuration).stdout(Stdio::piped());
        if named {
            command.arg("--operator").arg(&operator);
        }
        let mut child = command.spawn().unwrap();
        other.set_read_timeout(Some(Duration::from_secs(if named && allowed { 15 } else { 1 }))).unwrap();
        let came = other.recv(&mut [0; 512]).is_ok();
        signal(&child, "-TERM");
        let mut log = String::new();
        child.stdout.take().unwrap().read_to_string(&mut log).unwrap();
        assert!(child.wait().unwrap().success());
        std::fs::remove_file(&configuration).unwrap();
        assert_eq!(came, named && allowed, "{log}");
        assert_eq!(log.contains("membership on"), named && allowed, "{log}");
        assert_eq!(log.contains("allow no messages"), named && !allowed, "{log}");
    }
    std::fs::remove_file(&operator).unwrap();
}

/// What is wrong is named by file and key, and nothing listens; what is absent is the plainest deployment.
#[test]
fn a_file_of_another_customer_starts_whole_or_not_at_all() {
    let sound = r#""listen":"127.0.0.1:0","discovery":"127.0.0.1:9","seed":"1""#;
    let cases = [
        (r#""listen":"127.0.0.1:0","seed":"1","settings":{}"#.to_string(), Some("`discovery`")),
        (format!(r#"{sound},"settings":{{"services":[{{"aim":"x"}}]}}"#), Some("settings.services[0].aim")),
        (
            format!(r#"{sound},"settings":{{"tariffs":[{{}},{{"refill":[]}}]}}"#),
            Some("settings.tariffs[1].refill"),
        ),
        (sound.replace(r#""1""#, r#""zz""#) + r#","settings":{}"#, Some("seed")),
        (format!(r#"{sound},"settings":{{}}}}{{"#), Some("trailing")),
        (format!(r#"{sound},"settings":{{}}"#), None),
        (
            format!(
                r#"{sound},"more":1,"limits":{{"sockets":0,"memory_mb":0}},"settings":{{"tick":0,"balancers":0,
                "services":[{{"name":"a","semantics":"non_idempotent"}}],"tariffs":[{{"name":"p"}}],"more":[]}}"#
            ),
            None,
        ),
    ];
    for (number, (text, wrong)) in cases.into_iter().enumerate() {
        let file = std::env::temp_dir().join(format!("settings-{}-{number}", std::process::id()));
        std::fs::write(&file, format!("{{{text}}}")).unwrap();
        let mut child = Command::new(env!("CARGO_BIN_EXE_fennelgauge-gateway"))
            .env("BALANCER_CONFIG", &file)
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let (_output, said) = heard(&mut child);
        if wrong.is_none() {
            let mut client = End::new(TcpStream::connect(address(&said)).unwrap());
            client.write("GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n");
            assert_eq!(client.status(), "503", "{said}");
            // A job of a class with no time, of a plan with nothing, is dismissed and not lost.
            client.write(job("s0", "a", "p", "50", "x"));
            assert_eq!(client.status(), if number == 6 { "429" } else { "400" }, "{said}");
            signal(&child, "-TERM");
        }
        assert_eq!(child.wait().unwrap().success(), wrong.is_none(), "{said}");
        if let Some(wrong) = wrong {
            let named = said.contains(wrong) && said.contains(&file.display().to_string());
            assert!(named && !said.contains("started"), "{wrong}: {said}");
        }
        std::fs::remove_file(&file).unwrap();
    }
}

#[test]
fn a_gateway_whose_log_nobody_reads_goes_on() {
    let agent = listener();
    let file = std::env::temp_dir().join(format!("unread-{}", std::process::id()));
    let text = format!(
        r#"{{"listen":"127.0.0.1:0","discovery":"{}","seed":"1","settings":{{}}}}"#,
        agent.local_addr().unwrap()
    );
    std::fs::write(&file, text).unwrap();
    let mut child = Command::new(env!("CARGO_BIN_EXE_fennelgauge-gateway"))
        .env("BALANCER_CONFIG", &file)
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let (output, said) = heard(&mut child);
    let at = address(&said);
    drop((output, child.stderr.take()));
    // Each of these is a line of the log.
    for _ in 0..3 {
        let mut client = End::new(TcpStream::connect(at).unwrap());
        client.write("NONSENSE\r\n\r\n");
        assert_eq!(client.status(), "400");
        client.ends();
    }
    signal(&child, "-TERM");
    assert!(child.wait().unwrap().success());
    std::fs::remove_file(&file).unwrap();
}
