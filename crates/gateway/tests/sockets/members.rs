//! One gateway of three that know each other; the other two are the test's, each on a socket, a clock and links of its own.

use crate::stage::{comes, Stage};
use fennelgauge::time::{Moment, Span};
use fennelgauge_membership::node::{MembershipNode, NodeConfig};
use fennelgauge_membership::view::MemberState;
use fennelgauge_membership::MemberIndex;
use std::net::{SocketAddr, UdpSocket};
use std::time::{SystemTime, UNIX_EPOCH};

const GATEWAY: MemberIndex = 0;

struct Member {
    socket: UdpSocket,
    circle: MembershipNode,
    /// How far its clock is ahead.
    ahead: Span,
    /// With whom it can speak.
    reaches: Vec<MemberIndex>,
}

impl Member {
    fn start(number: MemberIndex) -> Self {
        let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
        socket.set_nonblocking(true).unwrap();
        let terms = NodeConfig {
            own_index: number,
            member_count: 3,
            zone: Some(0),
            max_datagrams_per_s: 200.0,
            peer_counting: false,
            seed: number.into(),
        };
        let circle = MembershipNode::start(clock(Span::ZERO), terms);
        Self { socket, circle, ahead: Span::ZERO, reaches: vec![0, 1, 2] }
    }

    fn address(&self) -> SocketAddr {
        self.socket.local_addr().unwrap()
    }

    fn holds(&self, number: MemberIndex) -> MemberState {
        self.circle.view().status(number).unwrap().state
    }

    /// Takes in what came, sees to what is due and sends. A gateway's address shows by its first datagram.
    fn play(&mut self, places: &mut [Option<SocketAddr>; 3]) {
        let mut buffer = [0; 512];
        while let Ok((length, from)) = self.socket.recv_from(&mut buffer) {
            let known = places.iter().position(|place| *place == Some(from)).unwrap_or(GATEWAY.into());
            places[known] = Some(from);
            if self.reaches.contains(&(known as MemberIndex)) {
                let _ = self.circle.receive(clock(self.ahead), Some(known as MemberIndex), &buffer[..length]);
            }
        }
        let now = clock(self.ahead);
        self.circle.run_due(now);
        for (to, bytes) in self.circle.take_datagrams(now) {
            if let Some(place) = places[usize::from(to)].filter(|_| self.reaches.contains(&to)) {
                self.socket.send_to(&bytes, place).unwrap();
            }
        }
    }
}

fn clock(ahead: Span) -> Moment {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    Moment::from_micros(now.as_micros() as u64) + ahead
}

/// The second member is cut off from both others until it has given both up, and then hears the gateway again: its word
/// that the first failed reaches the gateway, which has heard the first all along.
#[test]
fn word_of_a_failure_from_across_a_healed_cut_is_a_suspicion() {
    let (mut one, mut two) = (Member::start(1), Member::start(2));
    let (first, second) = (one.address(), two.address());
    let membership = |text: String| {
        let peers =
            format!(r#""peers":["127.0.0.1:9","{first}","{second}"],"peer_listen":"127.0.0.1:0","seed""#);
        text.replacen(r#""seed""#, &peers, 1)
            .replace(r#""balancers":1"#, r#""balancers":3"#)
            .replace(r#""has_counter":true"#, r#""has_counter":true,"mail_per_s":200.0"#)
            .replace(r#""may_cancel":true"#, r#""may_cancel":true,"peers":true"#)
    };
    let stage = Stage::operated(1, 64, membership, "[membership]\non = true\n");
    let mut places = [None, Some(first), Some(second)];
    assert!(comes(|| {
        [&mut one, &mut two].into_iter().for_each(|it| it.play(&mut places));
        [one.holds(2), one.holds(0), two.holds(0), two.holds(1)] == [MemberState::Alive; 4]
    }));
    two.reaches.clear();
    // Only its own time goes on.
    let given_up = (0..600).any(|_| {
        two.ahead = two.ahead + Span::from_millis(100);
        two.play(&mut places);
        [two.holds(0), two.holds(1)] == [MemberState::Failed; 2]
    });
    assert!(given_up, "{:?}", two.circle.view());
    two.reaches = vec![0];
    assert!(comes(|| {
        [&mut one, &mut two].into_iter().for_each(|it| it.play(&mut places));
        stage.logged("number=1 from=present")
    }));
    // It is asked, and answers.
    assert!(comes(|| {
        [&mut one, &mut two].into_iter().for_each(|it| it.play(&mut places));
        stage.logged("number=1 from=suspected")
    }));
    assert_eq!(one.holds(0), MemberState::Alive);
    let log = stage.log();
    assert!(log.contains("number=1 from=suspected to=present"), "{log}");
    assert!(!log.contains("number=1 from=present to=failed"), "{log}");
}
