use super::*;

#[test]
fn a_disk_is_in_trouble_while_a_write_takes_long_or_after_one_failed() {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build().unwrap();
    runtime.block_on(async {
        let health = DiskHealth::default();
        type Case = (&'static str, u64, fn(&DiskHealth), bool);
        let steps: [Case; 7] = [
            ("nothing written", 5_000, |_| (), false),
            ("a write begins", 0, DiskHealth::begin, false),
            ("another follows", 500, DiskHealth::begin, false),
            ("the first takes long", 400, |_| (), true),
            ("it is done", 0, |health| health.end(true), false),
            ("the second fails", 100, |health| health.end(false), true),
            (
                "a later one is done",
                100,
                |health| {
                    health.begin();
                    health.end(true)
                },
                false,
            ),
        ];
        for (name, wait_ms, step, expected) in steps {
            tokio::time::advance(Duration::from_millis(wait_ms)).await;
            step(&health);
            assert_eq!(health.is_in_trouble(), expected, "{name}");
        }
    });
}
