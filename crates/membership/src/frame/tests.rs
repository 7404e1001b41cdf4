use super::*;

#[test]
fn every_byte_is_guarded() {
    let frame = Frame { kind: Kind::Sums, body: b"some body" };
    let bytes = frame.encode(300, 258);
    assert_eq!(Frame::decode(&bytes, 300, 258), Ok(frame));
    assert_eq!(Frame::decode(&bytes, 299, 258), Err(Refused::Garbled));
    assert_eq!(Frame::decode(&bytes, 300, 257), Err(Refused::Garbled));
    for at in 0..bytes.len() {
        let mut spoilt = bytes.clone();
        spoilt[at] ^= 0x10;
        let refused = Frame::decode(&spoilt, 300, 258).unwrap_err();
        assert!(matches!(refused, Refused::Version | Refused::Garbled), "{at}: {refused}");
        assert!(Frame::decode(&bytes[..at], 300, 258).is_err());
    }
    assert_eq!(Frame::decode(&[VERSION; MOST + 1], 300, 258), Err(Refused::Long));
    let full = Frame { body: &[7; 400], ..frame }.encode(300, 258);
    assert_eq!(full.len(), MOST);
    // Another kind, whole: from a later version perhaps.
    let mut other = frame.encode(300, 258);
    other[0] = VERSION | 9;
    let sum = check(300, 258, VERSION | 9, b"some body").to_be_bytes();
    other[1..HEAD].copy_from_slice(&sum);
    assert_eq!(Frame::decode(&other, 300, 258), Err(Refused::Kind));
}
