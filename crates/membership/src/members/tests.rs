use super::*;
use foca::{Codec, Header, Member, Message};

const NOW: Moment = Moment::from_micros(1_700_000_000_000_000);
const GENERATION: u64 = 1_700_000_000_000;

fn identity(index: MemberIndex, generation: u64) -> Identity {
    Identity { index, generation, zone: 0 }
}

/// Returns a membership frame's body as member 1 sends it, with the states of `listed` members.
fn from_1(to: Identity, message: Message<Identity>, listed: &[Member<Identity>]) -> Vec<u8> {
    let mut body = vec![0; DIGEST_BYTES];
    let header = Header { src: identity(1, GENERATION), src_incarnation: 0, dst: to, message };
    IdentityCodec.encode_header(&header, &mut body).unwrap();
    body.extend((listed.len() as u16).to_be_bytes());
    listed.iter().for_each(|member| IdentityCodec.encode_member(member, &mut body).unwrap());
    body
}

/// Returns member 0 of four, which knows members 1 and 2 from a message of member 1.
fn member_0_knowing_1_and_2() -> Members {
    let mut members = Members::start(NOW, 0, 4, Some(0), 7);
    let alive = Member::alive(identity(2, GENERATION));
    members.receive(NOW, 1, &from_1(members.identity(), Message::Gossip, &[alive])).unwrap();
    members.take_datagrams();
    members
}

fn state(members: &Members, index: MemberIndex) -> MemberState {
    members.view().status(index).unwrap().state
}

/// Returns the headers of the messages that `members` sends to member 1.
fn headers_sent_to_1(members: &mut Members) -> Vec<Header<Identity>> {
    let sends = members.take_datagrams().into_iter().filter(|(to, _)| *to == 1);
    sends.map(|(_, body)| IdentityCodec.decode_header(&body[DIGEST_BYTES..]).unwrap()).collect()
}

#[test]
fn a_datagram_for_an_earlier_generation_is_answered_by_the_present_one() {
    let mut members = member_0_knowing_1_and_2();
    let own = members.identity();
    let ping = from_1(identity(0, own.generation - 1), Message::Ping(3), &[]);
    members.receive(NOW, 1, &ping).unwrap();
    assert!(headers_sent_to_1(&mut members)
        .iter()
        .any(|header| header.src == own && header.dst == identity(1, GENERATION)));
    // An announcement to any generation gets one reply, as without this rule.
    members
        .receive(NOW, 1, &from_1(Identity::any_generation(0), Message::Announce, &[])[..DIGEST_BYTES + 21])
        .unwrap();
    let answers = headers_sent_to_1(&mut members);
    assert!(answers.len() == 1 && answers[0].message == Message::Feed, "{answers:?}");
}

#[test]
fn a_reported_failure_is_accepted_only_after_the_suspicion_timeout_expired_here() {
    let mut members = member_0_knowing_1_and_2();
    let own = members.identity();
    let failed = |index| from_1(own, Message::Gossip, &[Member::down(identity(index, GENERATION))]);
    members.receive(NOW, 1, &failed(2)).unwrap();
    assert_eq!(state(&members, 2), MemberState::Suspected);
    // The suspicion timeout has just begun, so the same report has no further effect yet.
    let awake = |members: &mut Members, from: Span, to: Span| {
        let beats = from.micros() / MAX_ADVANCE.micros()..=to.micros() / MAX_ADVANCE.micros();
        beats.for_each(|beat| _ = members.active_time(NOW + Span::from_micros(beat * MAX_ADVANCE.micros())));
    };
    awake(&mut members, Span::ZERO, Span::from_millis(2_750));
    members.receive(NOW + Span::from_millis(2_750), 1, &failed(2)).unwrap();
    assert_eq!(state(&members, 2), MemberState::Suspected);
    awake(&mut members, Span::from_millis(2_750), Span::from_millis(3_250));
    members.receive(NOW + Span::from_millis(3_250), 1, &failed(2)).unwrap();
    assert_eq!(state(&members, 2), MemberState::Failed);
}

#[test]
fn a_member_that_announced_its_departure_itself_or_through_gossip_is_not_suspected() {
    let mut members = member_0_knowing_1_and_2();
    let own = members.identity();
    let goes = from_1(own, Message::Gossip, &[Member::down(identity(1, GENERATION))]);
    members.receive(NOW, 1, &goes).unwrap();
    assert_eq!(state(&members, 1), MemberState::Failed);
    let mut members = member_0_knowing_1_and_2();
    let mut left = from_1(own, Message::Gossip, &[]);
    let departure = Departure { index: 2, generation: GENERATION }.encode();
    left.extend((departure.len() as u16).to_be_bytes());
    left.extend(departure);
    members.receive(NOW, 1, &left).unwrap();
    assert_eq!(state(&members, 2), MemberState::Left);
    members.receive(NOW, 1, &from_1(own, Message::Gossip, &[Member::down(identity(2, GENERATION))])).unwrap();
    assert_eq!((state(&members, 2), members.suspicions.len()), (MemberState::Left, 0));
}
