use super::*;

#[test]
fn arcs_start_evenly_and_those_of_consecutive_gateways_far_apart() {
    for count in [1, 2, 3, 10, 100, 300, 999, 1_000] {
        let mut starts: Vec<f64> =
            (0..count).map(|own| RingPosition::among_all(own, count).arc_start()).collect();
        // The arcs of a third of the gateways, with consecutive numbers, start less than a tenth of the ring apart.
        if count >= 100 {
            let mut third: Vec<f64> = starts[..count as usize / 3].to_vec();
            third.sort_by(f64::total_cmp);
            let widest = third.windows(2).map(|pair| pair[1] - pair[0]).fold(0.0, f64::max);
            assert!(widest < 0.1, "{count}: {widest}");
        }
        starts.sort_by(f64::total_cmp);
        for (rank, start) in starts.iter().enumerate() {
            assert!((start - rank as f64 / f64::from(count)).abs() < 1e-12, "{count}");
        }
    }
}

#[test]
fn an_arc_that_wraps_around_the_end_of_the_ring_has_both_parts() {
    let servers: Vec<Candidate> = (0..3).map(|server| Candidate { server, rating: 1.0, zone: 0 }).collect();
    for own in 0..2 {
        let assigned = assign_subset(&servers, RingPosition::among_all(own, 2), 1.0);
        assert_eq!(assigned.shares.len(), 2);
        assert!((assigned.shares.iter().map(|part| part.1).sum::<f64>() - 1.0).abs() < 1e-12);
        assert_eq!(assigned.fallback.len(), 1);
    }
}
