use super::*;
use crate::plan::Troubles;

#[test]
fn a_seed_draws_the_same_troubles_and_another_seed_others() {
    let plan = Plan::default();
    let first = drawn(&plan, 1);
    assert!(first.len() > 5 && first.windows(2).all(|pair| pair[0].at <= pair[1].at));
    assert_eq!(first, drawn(&plan, 1));
    assert_ne!(first, drawn(&plan, 2));
}

#[test]
fn what_weighs_nothing_never_comes() {
    let troubles = Troubles { wipe_store: 0, freeze: 0, ..Troubles::default() };
    let plan = Plan { troubles, ..Plan::default() };
    for seed in 0..200 {
        for strike in drawn(&plan, seed) {
            assert!(!matches!(strike.trouble, Trouble::Wipe { .. } | Trouble::Freeze { .. }));
        }
    }
}
