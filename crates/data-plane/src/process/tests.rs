//! Tests of the shutdown rules with a paused clock.

use std::path::Path;

use super::*;

#[test]
fn requests_that_arrive_too_late_during_a_stop_are_refused() {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build().unwrap();
    runtime.block_on(async {
        for (grace_s, accepted_ms) in [(8.0, 2_900), (3.0, 1_200)] {
            let text = format!(
                "node = \"e\"\nip = \"127.0.0.1\"\nzone = \"z\"\nport_range = [7000, 7010]\n\
                 [bounds]\ngrace_s = {grace_s}\n"
            );
            let plane = DataPlane::new(Settings::parse(&text, Path::new("test.toml")).expect("settings"));
            tokio::time::advance(Duration::from_secs(9)).await;
            assert!(!plane.refuses_new_requests(), "no stop was requested");
            plane.stop_requested_at.set(Some(Instant::now()));
            tokio::time::advance(Duration::from_millis(accepted_ms - 10)).await;
            assert!(!plane.refuses_new_requests(), "clients that have not noticed the stop are still served");
            tokio::time::advance(Duration::from_millis(20)).await;
            assert!(plane.refuses_new_requests(), "the process could end before the response is complete");
            let accepted_last = Duration::from_millis(accepted_ms) + plane.longest_accepted_request();
            assert_eq!(
                accepted_last,
                plane.stop_time_limit(),
                "the last request that is accepted can be answered"
            );
        }
    });
}
