use super::*;

fn open_directory(test: &str) -> (PathBuf, VersionDirectory) {
    let path = std::env::temp_dir().join(format!("fennelgauge-versions-{test}-{}", std::process::id()));
    let _ = fs::remove_dir_all(&path);
    let directory = VersionDirectory::open(&path, "state").expect("opened");
    (path, directory)
}

fn name(epoch: u64, sequence: u64) -> VersionName {
    VersionName { epoch, sequence }
}

#[test]
fn the_newest_version_by_epoch_then_sequence_is_read() {
    let (path, directory) = open_directory("newest");
    for (version, body) in [(name(1, 9), "old"), (name(2, 3), "new"), (name(2, 2), "middle")] {
        directory.write(version, body.as_bytes()).expect("written");
    }
    assert_eq!(directory.newest_valid().expect("readable"), Some((name(2, 3), b"new".to_vec())));
    directory.prune(2).expect("pruned");
    assert_eq!(directory.list().expect("listed"), [name(2, 2), name(2, 3)]);
    fs::remove_dir_all(path).expect("removed");
}

#[test]
fn torn_foreign_and_empty_files_are_quarantined() {
    let cases: [(&str, &[u8]); 4] =
        [("empty", b""), ("foreign", b"hello world, hello"), ("torn", &[0; 40]), ("short", b"FGVER001")];
    for (case, bytes) in cases {
        let (path, directory) = open_directory(case);
        directory.write(name(1, 1), b"good").expect("written");
        fs::write(directory.file(name(1, 2)), bytes).expect("corrupted");
        assert_eq!(
            directory.newest_valid().expect("readable"),
            Some((name(1, 1), b"good".to_vec())),
            "{case}"
        );
        assert_eq!(directory.list().expect("listed"), [name(1, 1)], "{case}");
        fs::remove_dir_all(path).expect("removed");
    }
}

#[test]
fn a_flipped_bit_is_detected() {
    let (path, directory) = open_directory("flipped");
    directory.write(name(1, 1), b"a body of some length").expect("written");
    let file = directory.file(name(1, 1));
    let mut bytes = fs::read(&file).expect("readable");
    bytes[HEADER_BYTES + 3] ^= 4;
    fs::write(&file, bytes).expect("corrupted");
    assert!(directory.newest_valid().expect("readable").is_none());
    fs::remove_dir_all(path).expect("removed");
}
