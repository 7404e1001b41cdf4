use super::*;

const GIVEN_UP: Option<u64> = None;

#[test]
fn patience_follows_what_attempts_take() {
    type Case = (&'static str, bool, Vec<Option<u64>>, [u64; 2]);
    let cases: [Case; 7] = [
        ("nothing known", true, vec![], [300, 300]),
        ("not adaptive", false, vec![Some(1); 20], [300, 300]),
        ("quick", true, vec![Some(1); 20], [50, 50]),
        ("one given up", true, [vec![Some(1); 20], vec![GIVEN_UP]].concat(), [100, 100]),
        ("many given up", true, [vec![Some(1); 20], vec![GIVEN_UP; 9]].concat(), [300, 300]),
        ("and one opened", true, [vec![Some(1); 20], vec![GIVEN_UP; 9], vec![Some(1)]].concat(), [50, 50]),
        ("far away", true, vec![Some(80); 40], [80, 110]),
    ];
    for (name, adaptive, attempts, [least, most]) in cases {
        let mut times = ConnectTimes::new(adaptive);
        for attempt in attempts {
            match attempt {
                Some(took_ms) => times.took(Duration::from_millis(took_ms)),
                None => times.timed_out(),
            }
        }
        let patience = times.patience().as_millis() as u64;
        assert!((least..=most).contains(&patience), "{name}: {patience}");
    }
}
