use super::*;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::LocalSet;

fn local<F: std::future::Future<Output = ()>>(test: F) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, test);
}

async fn listening() -> std::net::SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::task::spawn_local(serve(listener, |request| async move {
        match request {
            Request::Core(CoreRequest::Confirm { epoch: 0 }) => std::future::pending().await,
            Request::Core(CoreRequest::Confirm { epoch }) => {
                Reply::Core(CoreReply::Epoch { epoch, sealed: false })
            }
            _ => Reply::NotHere,
        }
    }));
    address
}

fn confirm(epoch: u64) -> Request {
    Request::Core(CoreRequest::Confirm { epoch })
}

#[test]
fn many_calls_share_a_connection_and_find_their_answers() {
    local(async {
        let peer = listening().await;
        let caller = Caller::default();
        let calls = (1..50).map(|epoch| {
            let caller = caller.clone();
            async move {
                match caller.call(peer, confirm(epoch), Duration::from_secs(5)).await {
                    Ok(Reply::Core(CoreReply::Epoch { epoch: answered, .. })) => assert_eq!(answered, epoch),
                    other => panic!("{other:?}"),
                }
            }
        });
        futures_util::future::join_all(calls).await;
    });
}

#[test]
fn a_call_tells_whether_it_may_have_arrived() {
    local(async {
        let peer = listening().await;
        let caller = Caller::default();
        let silent = caller.call(peer, confirm(0), Duration::from_millis(30)).await;
        assert_eq!(silent.expect_err("no answer"), CallError::NoAnswer(peer));
        assert!(caller.call(peer, confirm(3), Duration::from_secs(5)).await.is_ok(), "a new connection");
        let nobody = TcpListener::bind("127.0.0.1:0").await.unwrap().local_addr().unwrap();
        let unsent = caller.call(nobody, confirm(3), Duration::from_secs(5)).await;
        assert_eq!(unsent.expect_err("not sent"), CallError::NotSent(nobody));
    });
}

#[test]
fn foreign_bytes_end_their_connection_only() {
    local(async {
        let peer = listening().await;
        for bytes in
            [b"GET / HTTP/1.1\r\n\r\n".as_slice(), &[0xff; 64], &[4, 0, 0, 0, 1, 2, 3, 4, 9, 9, 9, 9]]
        {
            let mut stranger = TcpStream::connect(peer).await.expect("connected");
            stranger.write_all(bytes).await.expect("written");
        }
        assert!(Caller::default().call(peer, confirm(3), Duration::from_secs(5)).await.is_ok());
    });
}

#[test]
fn a_message_comes_back_whole_and_leftovers_are_refused() {
    let order = Order { kind: OrderKind::Patch, base: 7, body: vec![1, 2, 3] };
    let mut bytes = encode(&order);
    assert_eq!(decode::<Order>(&bytes).expect("whole"), order);
    bytes.push(0);
    assert!(decode::<Order>(&bytes).is_err());
    assert!(decode::<Order>(&bytes[..3]).is_err());
}
