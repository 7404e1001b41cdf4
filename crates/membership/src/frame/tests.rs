use super::*;

#[test]
fn a_changed_byte_another_sender_or_another_member_count_is_rejected() {
    let frame = Frame { kind: FrameKind::CountUpdates, body: b"some body" };
    let bytes = frame.encode(300, 258);
    assert_eq!(Frame::decode(&bytes, 300, 258), Ok(frame));
    assert_eq!(Frame::decode(&bytes, 299, 258), Err(RejectReason::ChecksumMismatch));
    assert_eq!(Frame::decode(&bytes, 300, 257), Err(RejectReason::ChecksumMismatch));
    for at in 0..bytes.len() {
        let mut corrupted = bytes.clone();
        corrupted[at] ^= 0x10;
        let rejected = Frame::decode(&corrupted, 300, 258).unwrap_err();
        assert!(
            matches!(rejected, RejectReason::UnsupportedVersion | RejectReason::ChecksumMismatch),
            "{at}: {rejected}"
        );
        assert!(Frame::decode(&bytes[..at], 300, 258).is_err());
    }
    assert_eq!(Frame::decode(&[VERSION; MAX_DATAGRAM_BYTES + 1], 300, 258), Err(RejectReason::TooLong));
    let full = Frame { body: &[7; 400], ..frame }.encode(300, 258);
    assert_eq!(full.len(), MAX_DATAGRAM_BYTES);
    // A correct checksum with an unknown kind, as a later version might send.
    let mut other = frame.encode(300, 258);
    other[0] = VERSION | 9;
    let sum = checksum(300, 258, VERSION | 9, b"some body").to_be_bytes();
    other[1..HEADER_BYTES].copy_from_slice(&sum);
    assert_eq!(Frame::decode(&other, 300, 258), Err(RejectReason::UnknownKind));
}
