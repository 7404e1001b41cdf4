use super::*;
use crate::identity::NO_ZONE;

#[test]
fn headers_and_members_round_trip_and_truncated_ones_are_rejected() {
    let one = Identity { index: 299, generation: (1 << 48) - 1, zone: 2 };
    let other = Identity { index: 7, generation: 1_764_633_600_000, zone: NO_ZONE };
    let messages = [
        Message::Ping(255),
        Message::Ack(0),
        Message::PingReq { target: one, probe_number: 3 },
        Message::IndirectPing { origin: other, probe_number: 4 },
        Message::IndirectAck { target: one, probe_number: 5 },
        Message::ForwardedAck { origin: other, probe_number: 6 },
        Message::Announce,
        Message::Feed,
        Message::Gossip,
        Message::Broadcast,
        Message::TurnUndead,
    ];
    for message in messages {
        let header = Header { src: one, src_incarnation: 513, dst: other, message };
        let mut bytes = Vec::new();
        IdentityCodec.encode_header(&header, &mut bytes).unwrap();
        assert_eq!(IdentityCodec.decode_header(&bytes[..]).unwrap(), header);
        for cut in 0..bytes.len() {
            assert_eq!(IdentityCodec.decode_header(&bytes[..cut]), Err(CodecError::TooShort));
        }
        let mut room = [0_u8; 64];
        let short = bytes.len() - 1;
        assert_eq!(IdentityCodec.encode_header(&header, &mut room[..short]), Err(CodecError::TooShort));
    }
    for state in [State::Alive, State::Suspect, State::Down] {
        let member = Member::new(one, 9, state);
        let mut bytes = Vec::new();
        IdentityCodec.encode_member(&member, &mut bytes).unwrap();
        assert_eq!((IdentityCodec.decode_member(&bytes[..]).unwrap(), bytes.len()), (member, MEMBER_BYTES));
        bytes[MEMBER_BYTES - 1] = 9;
        assert_eq!(IdentityCodec.decode_member(&bytes[..]), Err(CodecError::UnknownTag(9)));
    }
}
