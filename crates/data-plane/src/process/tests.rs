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
            let time_limit = Duration::from_secs_f64(grace_s) - SHUTDOWN_MARGIN;
            assert_eq!(plane.time_for_new_request(), time_limit, "a stop may be requested the next moment");
            plane.stop_requested_at.set(Some(Instant::now()));
            tokio::time::advance(Duration::from_millis(accepted_ms - 10)).await;
            assert!(!plane.refuses_new_requests(), "clients that have not noticed the stop are still served");
            tokio::time::advance(Duration::from_millis(20)).await;
            assert!(plane.refuses_new_requests(), "the process could end before the response is complete");
            let elapsed = Duration::from_millis(accepted_ms + 10);
            assert_eq!(elapsed + plane.time_for_new_request(), time_limit, "none is held past the end");
        }
    });
}
