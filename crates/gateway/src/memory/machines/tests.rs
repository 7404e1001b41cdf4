use super::*;

fn listing(hosts: &str, whole: bool) -> Listing {
    serde_json::from_str(&format!(r#"{{"seq":1,"whole":{whole},"hosts":[{hosts}]}}"#)).unwrap()
}

#[test]
fn server_ids_do_not_depend_on_the_order_or_extent_of_the_list() {
    let names: Vec<String> =
        (0..300).map(|it| format!(r#"{{"host":"s-{it:x}","health":"in_service"}}"#)).collect();
    let server_ids = |names: &[String]| {
        let (entries, _) =
            ServerTable::default().apply_listing(Moment::default(), listing(&names.join(","), true), &[]);
        let mut server_ids: Vec<ServerId> = entries.iter().map(|entry| entry.server).collect();
        server_ids.sort_unstable();
        server_ids
    };
    let reversed: Vec<String> = names.iter().rev().cloned().collect();
    let all = server_ids(&names);
    assert_eq!(all, server_ids(&reversed));
    assert!(server_ids(&names[100..200]).iter().all(|number| all.binary_search(number).is_ok()));
    assert!(all.windows(2).all(|pair| pair[0] != pair[1]));
}

#[test]
fn removed_servers_expire_but_keep_their_id_until_then() {
    let mut machines = ServerTable::default();
    let at = |secs: u64| Moment::from_micros(secs * 1_000_000);
    let first = machines.apply_listing(at(0), listing(r#"{"host":"s-0","health":"in_service"}"#, true), &[]);
    for number in 1..500 {
        let hosts = format!(r#"{{"host":"s-{number}","health":"in_service"}}"#);
        machines.apply_listing(at(number), listing(&hosts, true), &[]);
        machines.remove_expired(at(number));
        assert!(machines.by_id.len() <= 64 && machines.ids.len() <= 64, "{}", machines.by_id.len());
        if number == 30 {
            let again =
                machines.apply_listing(at(30), listing(r#"{"host":"s-0","health":"in_service"}"#, true), &[]);
            assert_eq!(again.0[0].server, first.0[0].server);
        }
    }
}
