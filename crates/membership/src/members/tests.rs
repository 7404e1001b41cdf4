use super::*;
use foca::{Codec, Header, Member, Message};

const NOW: Moment = Moment::from_micros(1_700_000_000_000_000);
const GENERATION: u64 = 1_700_000_000_000;

fn identity(index: MemberIndex, generation: u64) -> Identity {
    Identity { index, generation, zone: 0 }
}

/// A datagram's content as member 1 sends it, with what it tells of others.
fn from_1(to: Identity, message: Message<Identity>, listed: &[Member<Identity>]) -> Vec<u8> {
    let mut body = vec![0; DIGEST_BYTES];
    let header = Header { src: identity(1, GENERATION), src_incarnation: 0, dst: to, message };
    IdentityCodec.encode_header(&header, &mut body).unwrap();
    body.extend((listed.len() as u16).to_be_bytes());
    listed.iter().for_each(|member| IdentityCodec.encode_member(member, &mut body).unwrap());
    body
}

/// Member 0 of four, to which 1 has told of 2.
fn met() -> Members {
    let mut members = Members::start(NOW, 0, 4, Some(0), 7);
    let alive = Member::alive(identity(2, GENERATION));
    members.receive(NOW, 1, &from_1(members.identity(), Message::Gossip, &[alive])).unwrap();
    members.take_datagrams();
    members
}

fn state(members: &Members, index: MemberIndex) -> MemberState {
    members.view().status(index).unwrap().state
}

/// What it sends to member 1, by the messages' headers.
fn to_1(members: &mut Members) -> Vec<Header<Identity>> {
    let sends = members.take_datagrams().into_iter().filter(|(to, _)| *to == 1);
    sends.map(|(_, body)| IdentityCodec.decode_header(&body[DIGEST_BYTES..]).unwrap()).collect()
}

#[test]
fn a_datagram_for_a_former_life_is_answered_by_the_present_one() {
    let mut members = met();
    let own = members.identity();
    let ping = from_1(identity(0, own.generation - 1), Message::Ping(3), &[]);
    members.receive(NOW, 1, &ping).unwrap();
    assert!(to_1(&mut members)
        .iter()
        .any(|header| header.src == own && header.dst == identity(1, GENERATION)));
    // One that speaks to whoever is there is answered as before, and once.
    members
        .receive(NOW, 1, &from_1(Identity::any_generation(0), Message::Announce, &[])[..DIGEST_BYTES + 21])
        .unwrap();
    let answers = to_1(&mut members);
    assert!(answers.len() == 1 && answers[0].message == Message::Feed, "{answers:?}");
}

#[test]
fn word_of_a_failure_is_final_only_when_the_time_to_speak_up_is_over_here_too() {
    let mut members = met();
    let own = members.identity();
    let failed = |index| from_1(own, Message::Gossip, &[Member::down(identity(index, GENERATION))]);
    members.receive(NOW, 1, &failed(2)).unwrap();
    assert_eq!(state(&members, 2), MemberState::Suspected);
    // Its time to speak up has begun just now: the same word again says no more.
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
fn one_that_says_itself_that_it_goes_or_is_said_to_have_left_is_not_suspected() {
    let mut members = met();
    let own = members.identity();
    let goes = from_1(own, Message::Gossip, &[Member::down(identity(1, GENERATION))]);
    members.receive(NOW, 1, &goes).unwrap();
    assert_eq!(state(&members, 1), MemberState::Failed);
    let mut members = met();
    let mut left = from_1(own, Message::Gossip, &[]);
    let departure = Departure { index: 2, generation: GENERATION }.encode();
    left.extend((departure.len() as u16).to_be_bytes());
    left.extend(departure);
    members.receive(NOW, 1, &left).unwrap();
    assert_eq!(state(&members, 2), MemberState::Left);
    members.receive(NOW, 1, &from_1(own, Message::Gossip, &[Member::down(identity(2, GENERATION))])).unwrap();
    assert_eq!((state(&members, 2), members.suspicions.len()), (MemberState::Left, 0));
}
