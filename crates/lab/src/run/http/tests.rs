use super::*;

async fn read(input: &[u8], request: bool) -> Vec<io::Result<Option<Message>>> {
    let (mut from, mut reader, mut all) = (input, Reader::default(), Vec::new());
    loop {
        let next = reader.next(&mut from, request, || {}, || None).await;
        let over = !matches!(next, Ok(Some(_)));
        all.push(next);
        if over {
            return all;
        }
    }
}

#[tokio::test]
async fn messages_are_read_one_behind_another_and_bad_ones_refused() {
    let two = b"POST /api HTTP/1.1\r\nContent-Length: 3\r\nX-A: 1\r\n\r\nabcGET /x HTTP/1.1\r\n\r\n";
    let all = read(two, true).await;
    let first = all[0].as_ref().unwrap().as_ref().unwrap();
    assert_eq!(
        (first.first.0.as_str(), &first.body[..], first.header("x-a")),
        ("POST", &b"abc"[..], Some("1"))
    );
    assert!(matches!(all[1], Ok(Some(_))) && matches!(all[2], Ok(None)));
    assert!(read(b"HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n", false).await[0].is_err());
    for head in [
        "HTTP/1.1 000 OK\r\nContent-Length: 0",
        "HTTP/1.1 200 OK\r\nX A: b\r\nContent-Length: 0",
        "HTTP/1.1 200 OK",
    ] {
        assert!(read(format!("{head}\r\n\r\n").as_bytes(), false).await[0].is_err(), "{head}");
    }
    assert!(read(b"GET / HTTP/1.1\r\nHos", true).await[0].is_err());
    assert!(read(b"\x00\x01\x02\r\n\r\n", true).await[0].is_err());
}
