//! Peer sampling: views stay bounded, find the zone, and forget who is gone.

use fennelgauge_coordination::{PartialView, Peer};

fn peer(number: usize, zones: usize) -> Peer {
    Peer {
        node: format!("n{number}"),
        zone: format!("z{}", number % zones),
        address: std::net::SocketAddr::from(([10, 1, (number / 250) as u8, (number % 250) as u8], 7361)),
    }
}

/// Chance that repeats: a linear congruence.
fn chance(seed: u64) -> impl FnMut(usize) -> usize {
    let mut state = seed;
    move |below| {
        state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        ((state >> 33) as usize) % below.max(1)
    }
}

/// Rounds of swaps among `count` processes that begin with one acquaintance; those in `gone` do not answer.
fn rounds(
    count: usize,
    zones: usize,
    rounds: usize,
    gone: &dyn Fn(usize, usize) -> bool,
) -> Vec<PartialView> {
    let mut draw = chance(7);
    let mut views: Vec<PartialView> =
        (0..count).map(|number| PartialView::new(peer(number, zones), 24, 6)).collect();
    for (number, view) in views.iter_mut().enumerate() {
        view.add_peer(peer((number + 1) % count, zones));
    }
    for round in 0..rounds {
        for number in (0..count).filter(|number| !gone(round, *number)).collect::<Vec<_>>() {
            let Some(swap) = views[number].begin_shuffle(&mut draw) else { continue };
            let with: usize = swap.target.node[1..].parse().unwrap();
            if gone(round, with) {
                continue;
            }
            let received = views[with].answer_shuffle(swap.offer.clone(), &mut draw);
            views[number].finish_shuffle(swap, received);
        }
    }
    views
}

#[test]
fn partial_views_stay_bounded_and_find_the_whole_zone() {
    let views = rounds(200, 20, 60, &|_, _| false);
    for (number, view) in views.iter().enumerate() {
        assert!(view.peers().count() <= 24);
        let near = view.peers().filter(|known| known.zone == peer(number, 20).zone).count();
        assert!(near >= 8, "process {number} knows {near} of the 9 others of its zone");
    }
}

#[test]
fn whoever_is_gone_drops_out_of_all_views() {
    let views = rounds(60, 3, 100, &|round, number| round >= 20 && number < 10);
    let remembered = views[10..].iter().flat_map(PartialView::peers).filter(|known| {
        let number: usize = known.node[1..].parse().unwrap();
        number < 10
    });
    assert_eq!(remembered.count(), 0);
}
