use super::*;
use crate::timeline::moment;

fn server(started: Option<Moment>) -> Server {
    let text = "name='t'\nseed=1\nlength_s=1\n[deployment]\ngateways=1\nservers=1\n[load]\njobs_per_s=1\n\
        [[band]]\nname='b'\ntarget_ms=100\nabandon_ms=200\nrepeat='pure'\nwork_ms=10\n\
        [[plan]]\nname='p'\ncustomers=1\n[servers]\ncores=2\nslots=2\nqueue=1\n";
    Server::new(&Scenario::parse("t", text).unwrap(), 1.0, 1.0, started, moment(0.0))
}

fn done(server: &mut Server, until: f64) -> Vec<(u64, u64)> {
    let ends = server.advance(moment(until)).into_iter();
    ends.map(|(relay, at)| (relay, at.since(moment(0.0)).micros().div_ceil(1_000))).collect()
}

#[test]
fn cores_are_shared_evenly_and_the_rest_waits_or_is_turned_away() {
    let mut server = server(None);
    let work = Span::from_millis(100);
    let taken: Vec<Taken> = (0..8).map(|relay| server.arrives(moment(0.0), relay, work, 0.9)).collect();
    // Two cores of two slots each and two places to wait.
    assert_eq!(taken.iter().filter(|taken| **taken == Taken::In).count(), 6);
    assert_eq!(taken[6..], [Taken::TurnedAway, Taken::TurnedAway]);
    // Four at once on two cores take twice as long; the two that waited then have a core each.
    assert_eq!(done(&mut server, 0.2), [(0, 200), (1, 200), (2, 200), (3, 200)]);
    assert_eq!(done(&mut server, 1.0), [(4, 300), (5, 300)]);
}

#[test]
fn a_cold_one_takes_longer_and_warms() {
    let mut server = server(Some(moment(0.0)));
    server.arrives(moment(0.0), 1, Span::from_millis(300), 0.9);
    let cold = done(&mut server, 5.0)[0].1;
    // At three tenths of its speed, a little more as it warms.
    assert!((800..1_000).contains(&cold), "{cold}");
    server.advance(moment(20.0));
    server.arrives(moment(20.0), 2, Span::from_millis(300), 0.9);
    assert_eq!(done(&mut server, 21.0), [(2, 20_300)]);
}

#[test]
fn paused_it_does_nothing_and_left_waiting_jobs_are_dropped() {
    let mut server = server(None);
    for relay in 0..6 {
        server.arrives(moment(0.0), relay, Span::from_millis(100), 0.9);
    }
    server.paused = true;
    assert!(server.next().is_none() && done(&mut server, 1.0).is_empty());
    server.leaves(4);
    server.leaves(0);
    server.paused = false;
    assert_eq!(done(&mut server, 2.0).iter().map(|it| it.0).collect::<Vec<_>>(), [0, 1, 2, 3, 5]);
}
