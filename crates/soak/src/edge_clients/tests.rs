//! What the soak takes for a whole response.

use super::*;

#[test]
fn response_is_whole_by_its_framing_only() {
    let chunked = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
    let whole = |status, body: &str| ResponseEnd::Whole { status, body: body.as_bytes().to_vec() };
    let cases = [
        (String::new(), ResponseEnd::Broken { has_begun: false }),
        ("HTTP/1.1 200".to_owned(), ResponseEnd::Broken { has_begun: true }),
        (chunked.to_owned(), ResponseEnd::Broken { has_begun: true }),
        (format!("{chunked}1\r\na\r\n"), ResponseEnd::Broken { has_begun: true }),
        (format!("{chunked}1\r\na\r\n0\r\n\r\n"), whole(200, "1\r\na\r\n0\r\n\r\n")),
        ("HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n".to_owned(), whole(503, "")),
        ("HTTP/1.1 000 X\r\nContent-Length: 0\r\n\r\n".to_owned(), ResponseEnd::Broken { has_begun: true }),
        (
            "HTTP/1.1 503 X\r\nno field\r\nContent-Length: 0\r\n\r\n".to_owned(),
            ResponseEnd::Broken { has_begun: true },
        ),
        (
            "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nab".to_owned(),
            ResponseEnd::Broken { has_begun: true },
        ),
    ];
    for (received, expected) in cases {
        assert_eq!(end_of(received.as_bytes()), expected, "{received:?}");
    }
}
