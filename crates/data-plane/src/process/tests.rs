//! Tests of the shutdown rules with a paused clock.

use std::path::Path;

use super::*;
use crate::frontend::OpenRequest;

#[test]
fn is_drained_once_no_request_is_open_and_the_last_response_is_flushed() {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build().unwrap();
    runtime.block_on(async {
        let text = "node = \"e\"\nip = \"127.0.0.1\"\nzone = \"z\"\nport_range = [7000, 7010]\n";
        let plane = Rc::new(DataPlane::new(Settings::parse(text, Path::new("test.toml")).expect("settings")));
        let advance = |ms| tokio::time::advance(Duration::from_millis(ms));
        advance(100).await;
        assert!(plane.is_drained());
        let (first, second) = (OpenRequest::new(&plane), OpenRequest::new(&plane));
        advance(100).await;
        assert!(!plane.is_drained(), "two requests are open");
        drop(first);
        advance(100).await;
        assert!(!plane.is_drained(), "one request is open");
        drop(second);
        advance(10).await;
        assert!(!plane.is_drained(), "its response is not flushed yet");
        let late = OpenRequest::new(&plane);
        advance(25).await;
        assert!(!plane.is_drained(), "another request was read in the meantime");
        drop(late);
        advance(30).await;
        assert!(plane.is_drained());
    });
}

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
        }
    });
}
