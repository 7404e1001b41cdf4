use super::*;

#[test]
fn an_empty_batch_and_its_reply_match_the_specification() {
    let bytes = b"\x01\0\0\0\x0c\0\0\0\0\0\0\0\x5a\x5c\x80\0\0\0\0\0";
    let batch = read(&mut &bytes[..]).unwrap().unwrap();
    assert_eq!((batch.number, batch.clock, batch.records().count()), (1, 0x805c5a, 0));
    assert_eq!(Reply::default().finish(1), b"\x01\0\0\0\x04\0\0\0\0\0\0\0");
}

#[test]
fn short_and_inconsistent_frames_are_errors() {
    assert!(read(&mut &b"\x01\0\0"[..]).is_err());
    let too_many_records = b"\x01\0\0\0\x0c\0\0\0\x01\0\0\0\0\0\0\0\0\0\0\0";
    assert!(read(&mut &too_many_records[..]).is_err());
    assert!(read(&mut &b""[..]).unwrap().is_none());
}

#[test]
fn a_relay_record_matches_the_specification() {
    let mut reply = Reply::default();
    let fields: [&[u8]; 4] =
        [b"\x03\0", b"\xc4\x91\x3a\x5d\x70\x9c\x05\0", b"\x07\x4a\x12\x03", b"\x80\x38\x01\0"];
    reply.push(1110, &fields);
    let frame = reply.finish(12);
    assert_eq!(
        &frame[12..],
        b"\x56\x04\x03\0\xc4\x91\x3a\x5d\x70\x9c\x05\0\x07\x4a\x12\x03\x80\x38\x01\0\0\0\0\0"
    );
}
