use super::*;

fn text(items: &[&str]) -> Vec<u8> {
    let items: Vec<String> = items.iter().map(|item| format!(r#"{{"name":"{item}","weight":1}}"#)).collect();
    format!("{{\"generation\":{},\"routes\":[{}],\"last\":1}}", items.len(), items.join(",")).into_bytes()
}

#[test]
fn a_delta_turns_the_old_text_into_the_new_one() {
    let old = text(&["a", "b", "c", "d"]);
    let cases: [(&str, Vec<u8>); 8] = [
        ("identical", old.clone()),
        ("one item added", text(&["a", "b", "c", "d", "e"])),
        ("one item removed", text(&["a", "c", "d"])),
        ("reordered", text(&["d", "c", "b", "a"])),
        ("one item duplicated", text(&["a", "a", "b"])),
        ("empty", Vec::new()),
        ("no braces", b"plain".to_vec()),
        ("truncated", old[..old.len() / 2].to_vec()),
    ];
    for (case, new) in cases {
        assert_eq!(apply_delta(&old, &compute_delta(&old, &new), new.len()).as_ref(), Ok(&new), "{case}");
        assert_eq!(
            apply_delta(&new, &compute_delta(&new, &old), old.len()).as_ref(),
            Ok(&old),
            "{case}, reversed"
        );
    }
}

#[test]
fn unchanged_text_is_not_in_the_delta() {
    let routes: Vec<String> = (0..1_600).map(|index| format!("route-{index}")).collect();
    let names: Vec<&str> = routes.iter().map(String::as_str).collect();
    let mut changed = names.clone();
    changed[700] = "another";
    let delta = compute_delta(&text(&names), &text(&changed));
    assert!(encode(&delta).len() < 200, "{} bytes", encode(&delta).len());
}

#[test]
fn a_delta_of_a_different_text_is_rejected() {
    let old = text(&["a", "b", "c"]);
    let cases = [
        DeltaOp::Copy { offset: 0, length: old.len() as u64 + 1 },
        DeltaOp::Copy { offset: u64::MAX, length: 2 },
        DeltaOp::Copy { offset: 5, length: u64::MAX },
    ];
    for op in cases {
        assert_eq!(apply_delta(&old, std::slice::from_ref(&op), 1 << 20), Err(DeltaMismatchError), "{op:?}");
    }
    let expanding: Vec<DeltaOp> =
        (0..100).map(|_| DeltaOp::Copy { offset: 0, length: old.len() as u64 }).collect();
    assert_eq!(apply_delta(&old, &expanding, 1_000), Err(DeltaMismatchError), "exceeds the size limit");
}

#[test]
fn compression_round_trips_within_the_size_limit() {
    let long = text(&["a"; 500]);
    let short = compress(&long);
    assert!(short.len() * 10 < long.len());
    assert_eq!(decompress(&short, long.len()), Ok(long.clone()));
    assert_eq!(decompress(&short, long.len() - 1), Err(DecompressError::TooLarge(long.len() - 1)));
    assert!(matches!(decompress(&short[..short.len() / 2], 1 << 20), Err(DecompressError::Corrupt(_))));
    assert!(matches!(decompress(b"no such bytes", 1 << 20), Err(DecompressError::Corrupt(_))));
    assert_ne!(checksum(&long), checksum(&long[1..]));
}
