use super::*;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::LocalSet;
use tokio::time::Instant;

/// Runs a test in a `LocalSet`, which servers and callers need.
fn run_local<F: std::future::Future<Output = ()>>(test: F) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, test);
}

/// Starts a server that answers a change with a conflict whose generation is the change's base. It never answers a base of 0.
async fn start_server() -> std::net::SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::task::spawn_local(serve(listener, UnwrittenReplies::default(), |request| async move {
        match request {
            Request::Core(CoreRequest::ChangeConfiguration(ConfigurationChange {
                base_generation: 0,
                ..
            })) => std::future::pending().await,
            Request::Core(CoreRequest::ChangeConfiguration(ConfigurationChange {
                base_generation: base,
                ..
            })) => Reply::Core(CoreReply::ChangeConfiguration(ChangeReply::Conflict {
                current_generation: base,
            })),
            _ => Reply::Unsupported,
        }
    }));
    address
}

/// A request that is answered with `base`, or never if that is 0.
fn request(base: u64) -> Request {
    Request::Core(CoreRequest::ChangeConfiguration(ConfigurationChange {
        kind: ChangeKind::Put,
        base_generation: base,
        body: Vec::new(),
    }))
}

fn replied_base(reply: Result<Reply, CallError>) -> u64 {
    match reply {
        Ok(Reply::Core(CoreReply::ChangeConfiguration(ChangeReply::Conflict {
            current_generation: current,
        }))) => current,
        other => panic!("{other:?}"),
    }
}

#[test]
fn concurrent_calls_on_one_connection_get_their_own_replies() {
    run_local(async {
        let peer = start_server().await;
        let caller = Caller::default();
        let calls = (1..50).map(|base| {
            let caller = caller.clone();
            async move {
                let reply = caller.call(peer, request(base), Duration::from_secs(5)).await;
                assert_eq!(replied_base(reply), base);
            }
        });
        futures_util::future::join_all(calls).await;
    });
}

#[test]
fn call_error_tells_whether_the_request_may_have_been_executed() {
    run_local(async {
        let peer = start_server().await;
        let caller = Caller::default();
        let timed_out = caller.call(peer, request(0), Duration::from_millis(30)).await;
        assert_eq!(timed_out.expect_err("no reply"), CallError::NoReply(peer));
        assert!(
            caller.call(peer, request(3), Duration::from_secs(5)).await.is_ok(),
            "the next call opens a new connection"
        );
        let unused_port = TcpListener::bind("127.0.0.1:0").await.unwrap().local_addr().unwrap();
        let unsent = caller.call(unused_port, request(3), Duration::from_secs(5)).await;
        assert_eq!(unsent.expect_err("not sent"), CallError::NotSent(unused_port));
    });
}

#[test]
fn invalid_frames_close_only_their_own_connection() {
    run_local(async {
        let peer = start_server().await;
        for bytes in
            [b"GET / HTTP/1.1\r\n\r\n".as_slice(), &[0xff; 64], &[4, 0, 0, 0, 1, 2, 3, 4, 9, 9, 9, 9]]
        {
            let mut stream = TcpStream::connect(peer).await.expect("connected");
            stream.write_all(bytes).await.expect("written");
        }
        assert!(Caller::default().call(peer, request(3), Duration::from_secs(5)).await.is_ok());
    });
}

#[test]
fn reply_that_is_cut_or_spoilt_at_any_byte_is_none() {
    let message = CallMessage { call_id: 0, body: Reply::Unsupported };
    let frame = frame::encode_frame(&message);
    let cut = (0..frame.len()).map(|at| frame[..at].to_vec());
    let spoilt = (0..frame.len()).map(|at| {
        let mut bytes = frame.clone();
        bytes[at] ^= 0x20;
        bytes
    });
    let replies: Vec<Vec<u8>> = cut.chain(spoilt).collect();
    run_local(async move {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let peer = listener.local_addr().expect("an address");
        for (reply, resets) in replies.iter().flat_map(|reply| [(reply, false), (reply, true)]) {
            let serving = async {
                let (mut stream, _) = listener.accept().await.expect("a connection");
                let _ = stream.read(&mut [0; 1_024]).await;
                stream.write_all(reply).await.expect("written");
                if resets {
                    stream.set_zero_linger().expect("a reset");
                }
            };
            let caller = Caller::default();
            let call = caller.call(peer, request(3), Duration::from_secs(5));
            let (result, ()) = tokio::join!(call, serving);
            assert!(matches!(result, Err(CallError::NoReply(_))), "{reply:?}: {result:?}");
        }
    });
}

#[test]
fn message_round_trips_and_trailing_or_missing_bytes_are_rejected() {
    let change = ConfigurationChange { kind: ChangeKind::Patch, base_generation: 7, body: vec![1, 2, 3] };
    let mut bytes = encode(&change);
    assert_eq!(decode::<ConfigurationChange>(&bytes).expect("complete"), change);
    bytes.push(0);
    assert!(decode::<ConfigurationChange>(&bytes).is_err());
    assert!(decode::<ConfigurationChange>(&bytes[..3]).is_err());
}

/// Guards against a late reply being taken for the reply to a later call on the same connection.
#[test]
fn reply_to_an_abandoned_call_does_not_reach_a_later_call() {
    run_local(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let peer = listener.local_addr().expect("an address");
        // The first call is abandoned, and answered only when the second one arrives on the same connection.
        let (release, released) = tokio::sync::watch::channel(false);
        let release = std::rc::Rc::new(release);
        tokio::task::spawn_local(serve(listener, UnwrittenReplies::default(), move |request| {
            let (release, mut released) = (release.clone(), released.clone());
            async move {
                let Request::Core(CoreRequest::ChangeConfiguration(change)) = request else {
                    return Reply::Unsupported;
                };
                match change.base_generation {
                    1 => drop(released.wait_for(|released| *released).await),
                    _ => drop(release.send(true)),
                }
                Reply::Core(CoreReply::ChangeConfiguration(ChangeReply::Conflict {
                    current_generation: change.base_generation,
                }))
            }
        }));
        let caller = Caller::default();
        let abandoned = tokio::time::timeout(
            Duration::from_millis(20),
            caller.call(peer, request(1), Duration::from_secs(5)),
        );
        assert!(abandoned.await.is_err());
        for base in 2..6 {
            let reply = caller.call(peer, request(base), Duration::from_secs(5)).await;
            assert_eq!(replied_base(reply), base);
        }
    });
}

/// Guards against allocating memory for a length prefix that the rest of the input cannot contain. The fuzzer found inputs
/// on which decoding ran out of memory.
#[test]
fn length_prefix_beyond_the_input_is_rejected() {
    // 253 marks a 64-bit length; three bytes follow it.
    for length in [1_u64 << 63, 1 << 40, 4 << 20] {
        let mut bytes = vec![253];
        bytes.extend_from_slice(&length.to_le_bytes());
        bytes.extend_from_slice(b"abc");
        assert!(decode::<String>(&bytes).is_err(), "{length}");
        assert!(decode::<(ConfigurationBytes, u64)>(&bytes).is_err(), "{length}");
    }
    let long = ConfigurationBytes(vec![7; 5 << 20]);
    assert_eq!(decode::<ConfigurationBytes>(&encode(&long)).expect("complete"), long);
    let many: Vec<String> = (0..9_000).map(|number| number.to_string()).collect();
    assert_eq!(decode::<Vec<String>>(&encode(&many)).expect("complete"), many);
}

/// Starts a server that splits its reply to the first call into ten pieces and sends the first `pieces` of them, 25 ms apart.
async fn start_slow_server(pieces: usize) -> std::net::SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::task::spawn_local(async move {
        let (mut stream, _) = listener.accept().await.expect("a client");
        let configuration = CoreReply::Configuration(Some(ConfigurationBytes(vec![7; 1_000])));
        let frame = crate::frame::encode_frame(&messages::CallMessage {
            call_id: 0,
            body: Reply::Core(configuration),
        });
        for piece in frame.chunks(frame.len().div_ceil(10)).take(pieces) {
            stream.write_all(piece).await.expect("written");
            tokio::time::sleep(Duration::from_millis(25)).await;
        }
        std::future::pending::<()>().await;
    });
    address
}

/// A reply that takes longer than the time limit is received while its parts keep arriving; one that stops is not.
#[test]
fn partially_received_reply_extends_the_time_limit() {
    run_local(async {
        let time_limit = Duration::from_millis(90);
        let complete = Caller::default().call(start_slow_server(10).await, request(3), time_limit).await;
        assert!(matches!(complete, Ok(Reply::Core(CoreReply::Configuration(Some(_))))), "{complete:?}");
        let peer = start_slow_server(6).await;
        let stalled = Caller::default().call(peer, request(3), time_limit).await;
        assert_eq!(stalled.expect_err("the reply stopped arriving"), CallError::NoReply(peer));
    });
}

/// Guards against a process that ends while a reply to another process is not all written.
#[test]
fn large_reply_counts_as_unwritten_until_a_slow_peer_has_read_it() {
    const REPLY_BYTES: usize = 16 << 20;
    run_local(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let replies = UnwrittenReplies::default();
        tokio::task::spawn_local(serve(listener, replies.clone(), |_| async {
            let configuration = ConfigurationBytes(vec![7; REPLY_BYTES]);
            Reply::Core(CoreReply::Configuration(Some(configuration)))
        }));
        let mut peer = TcpStream::connect(address).await.expect("connected");
        let call = CallMessage { call_id: 1, body: Request::Core(CoreRequest::ReadConfiguration) };
        peer.write_all(&crate::frame::encode_frame(&call)).await.expect("sent");
        peer.readable().await.expect("a reply");
        let started_at = Instant::now();
        replies.wait_until_written(started_at + Duration::from_millis(200)).await;
        assert!(started_at.elapsed() >= Duration::from_millis(200), "nobody has read the reply");
        let far_future = started_at + Duration::from_secs(20);
        let read = crate::frame::read_frame::<CallMessage<Reply>>(&mut peer);
        let ((), reply) = tokio::join!(replies.wait_until_written(far_future), read);
        assert!(Instant::now() < far_future);
        assert!(matches!(reply.expect("a whole reply").body, Reply::Core(CoreReply::Configuration(Some(_)))));
    });
}

/// Guards against a connection, and a reply, that a peer which reads nothing holds for ever.
#[test]
fn connection_whose_peer_accepts_no_byte_is_closed() {
    const REPLY_BYTES: usize = 64 << 20;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build()
        .expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let replies = UnwrittenReplies::default();
        tokio::task::spawn_local(serve(listener, replies.clone(), |_| async {
            let configuration = ConfigurationBytes(vec![7; REPLY_BYTES]);
            Reply::Core(CoreReply::Configuration(Some(configuration)))
        }));
        let mut peer = TcpStream::connect(address).await.expect("connected");
        let call = CallMessage { call_id: 1, body: Request::Core(CoreRequest::ReadConfiguration) };
        peer.write_all(&crate::frame::encode_frame(&call)).await.expect("sent");
        peer.readable().await.expect("a part of the reply");
        let started_at = Instant::now();
        replies.wait_until_written(started_at + Duration::from_secs(60)).await;
        assert!(started_at.elapsed() < Duration::from_secs(15), "held for {:?}", started_at.elapsed());
        let reply = crate::frame::read_frame::<CallMessage<Reply>>(&mut peer).await;
        assert!(reply.is_err(), "the reply is cut");
    });
}
