use super::*;

#[test]
fn disk_is_unhealthy_during_a_slow_write_and_after_a_failed_one() {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build().unwrap();
    runtime.block_on(async {
        let health = DiskHealth::default();
        type Case = (&'static str, u64, fn(&DiskHealth), bool);
        let steps: [Case; 7] = [
            ("nothing written", 5_000, |_| (), false),
            ("first write begins", 0, DiskHealth::begin, false),
            ("second write begins", 500, DiskHealth::begin, false),
            ("first write is slow", 400, |_| (), true),
            ("first write succeeds", 0, |health| health.end(true), false),
            ("second write fails", 100, |health| health.end(false), true),
            (
                "third write succeeds",
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
            assert_eq!(health.is_unhealthy(), expected, "{name}");
        }
    });
}
