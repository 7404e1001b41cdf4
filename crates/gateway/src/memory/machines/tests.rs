use super::*;

fn listing(hosts: &str, whole: bool) -> Listing {
    serde_json::from_str(&format!(r#"{{"seq":1,"whole":{whole},"hosts":[{hosts}]}}"#)).unwrap()
}

#[test]
fn gateways_with_other_lists_number_the_servers_alike() {
    let names: Vec<String> =
        (0..300).map(|it| format!(r#"{{"host":"s-{it:x}","health":"in_service"}}"#)).collect();
    let numbers = |names: &[String]| {
        let (entries, _) = Machines::default().learn(Moment::default(), listing(&names.join(","), true), &[]);
        let mut numbers: Vec<ServerId> = entries.iter().map(|entry| entry.server).collect();
        numbers.sort_unstable();
        numbers
    };
    let turned: Vec<String> = names.iter().rev().cloned().collect();
    let all = numbers(&names);
    assert_eq!(all, numbers(&turned));
    assert!(numbers(&names[100..200]).iter().all(|number| all.binary_search(number).is_ok()));
    assert!(all.windows(2).all(|pair| pair[0] != pair[1]));
}

#[test]
fn servers_replaced_without_end_are_forgotten_and_known_again_meanwhile() {
    let mut machines = Machines::default();
    let at = |secs: u64| Moment::from_micros(secs * 1_000_000);
    let first = machines.learn(at(0), listing(r#"{"host":"s-0","health":"in_service"}"#, true), &[]);
    for number in 1..500 {
        let hosts = format!(r#"{{"host":"s-{number}","health":"in_service"}}"#);
        machines.learn(at(number), listing(&hosts, true), &[]);
        machines.forget(at(number));
        assert!(machines.by_id.len() <= 64 && machines.ids.len() <= 64, "{}", machines.by_id.len());
        if number == 30 {
            let again = machines.learn(at(30), listing(r#"{"host":"s-0","health":"in_service"}"#, true), &[]);
            assert_eq!(again.0[0].server, first.0[0].server);
        }
    }
}
