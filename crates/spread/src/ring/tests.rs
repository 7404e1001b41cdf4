use super::*;

#[test]
fn ranks_in_a_row_begin_far_apart_and_all_begin_evenly() {
    for of in [1, 2, 3, 10, 100, 300, 999, 1_000] {
        let mut places: Vec<f64> = (0..of).map(|own| RingPosition::among_all(own, of).begins()).collect();
        // Of a third of the ranks in a row, no stretch of the ring of a tenth is left without one.
        if of >= 100 {
            let mut third: Vec<f64> = places[..of as usize / 3].to_vec();
            third.sort_by(f64::total_cmp);
            let widest = third.windows(2).map(|pair| pair[1] - pair[0]).fold(0.0, f64::max);
            assert!(widest < 0.1, "{of}: {widest}");
        }
        places.sort_by(f64::total_cmp);
        for (rank, place) in places.iter().enumerate() {
            assert!((place - rank as f64 / f64::from(of)).abs() < 1e-12, "{of}");
        }
    }
}

#[test]
fn an_arc_over_the_end_of_the_ring_has_both_parts() {
    let members: Vec<Candidate> = (0..3).map(|server| Candidate { server, rating: 1.0, zone: 0 }).collect();
    for own in 0..2 {
        let cut = assign_subset(&members, RingPosition::among_all(own, 2), 1.0);
        assert_eq!(cut.shares.len(), 2);
        assert!((cut.shares.iter().map(|part| part.1).sum::<f64>() - 1.0).abs() < 1e-12);
        assert_eq!(cut.fallback.len(), 1);
    }
}
