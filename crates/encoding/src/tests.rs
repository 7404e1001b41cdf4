use super::*;

fn text(items: &[&str]) -> Vec<u8> {
    let items: Vec<String> = items.iter().map(|item| format!(r#"{{"name":"{item}","weight":1}}"#)).collect();
    format!("{{\"generation\":{},\"routes\":[{}],\"last\":1}}", items.len(), items.join(",")).into_bytes()
}

#[test]
fn a_delta_makes_the_new_text_of_the_old_one() {
    let old = text(&["a", "b", "c", "d"]);
    let cases: [(&str, Vec<u8>); 8] = [
        ("the same", old.clone()),
        ("one more", text(&["a", "b", "c", "d", "e"])),
        ("one less", text(&["a", "c", "d"])),
        ("another order", text(&["d", "c", "b", "a"])),
        ("one twice", text(&["a", "a", "b"])),
        ("nothing", Vec::new()),
        ("no braces", b"plain".to_vec()),
        ("cut short", old[..old.len() / 2].to_vec()),
    ];
    for (what, new) in cases {
        assert_eq!(apply_delta(&old, &compute_delta(&old, &new), new.len()).as_ref(), Ok(&new), "{what}");
        assert_eq!(
            apply_delta(&new, &compute_delta(&new, &old), old.len()).as_ref(),
            Ok(&old),
            "{what}, back"
        );
    }
}

#[test]
fn what_stays_is_not_sent() {
    let many: Vec<String> = (0..1_600).map(|place| format!("route-{place}")).collect();
    let names: Vec<&str> = many.iter().map(String::as_str).collect();
    let mut changed = names.clone();
    changed[700] = "another";
    let parts = compute_delta(&text(&names), &text(&changed));
    assert!(encode(&parts).len() < 200, "{} bytes", encode(&parts).len());
}

#[test]
fn a_delta_of_another_text_is_refused() {
    let old = text(&["a", "b", "c"]);
    let cases = [
        DeltaOp::Copy { offset: 0, length: old.len() as u64 + 1 },
        DeltaOp::Copy { offset: u64::MAX, length: 2 },
        DeltaOp::Copy { offset: 5, length: u64::MAX },
    ];
    for part in cases {
        assert_eq!(
            apply_delta(&old, std::slice::from_ref(&part), 1 << 20),
            Err(DeltaMismatchError),
            "{part:?}"
        );
    }
    let bomb: Vec<DeltaOp> =
        (0..100).map(|_| DeltaOp::Copy { offset: 0, length: old.len() as u64 }).collect();
    assert_eq!(apply_delta(&old, &bomb, 1_000), Err(DeltaMismatchError), "longer than allowed");
}

#[test]
fn packed_bytes_come_back_within_the_bound() {
    let long = text(&["a"; 500]);
    let short = compress(&long);
    assert!(short.len() * 10 < long.len());
    assert_eq!(decompress(&short, long.len()), Ok(long.clone()));
    assert_eq!(decompress(&short, long.len() - 1), Err(DecompressError::TooLarge(long.len() - 1)));
    assert!(matches!(decompress(&short[..short.len() / 2], 1 << 20), Err(DecompressError::Corrupt(_))));
    assert!(matches!(decompress(b"no such bytes", 1 << 20), Err(DecompressError::Corrupt(_))));
    assert_ne!(checksum(&long), checksum(&long[1..]));
}
