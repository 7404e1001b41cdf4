use std::path::Path;

use super::*;
use crate::front::Open;

#[test]
fn a_process_may_end_only_when_nothing_is_open_and_the_last_answer_has_left() {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build().unwrap();
    runtime.block_on(async {
        let text = "node = \"e\"\nip = \"127.0.0.1\"\nzone = \"z\"\nport_range = [7000, 7010]\n";
        let plane = Rc::new(Plane::new(Settings::parse(text, Path::new("test.toml")).expect("settings")));
        let wait = |ms| tokio::time::advance(Duration::from_millis(ms));
        wait(100).await;
        assert!(plane.is_quiet());
        let (first, second) = (Open::new(&plane), Open::new(&plane));
        wait(100).await;
        assert!(!plane.is_quiet(), "two are open");
        drop(first);
        wait(100).await;
        assert!(!plane.is_quiet(), "one is open");
        drop(second);
        wait(10).await;
        assert!(!plane.is_quiet(), "its answer has not left");
        let late = Open::new(&plane);
        wait(25).await;
        assert!(!plane.is_quiet(), "one was read meanwhile");
        drop(late);
        wait(30).await;
        assert!(plane.is_quiet());
    });
}

#[test]
fn a_request_that_comes_too_late_to_end_in_time_is_not_taken() {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build().unwrap();
    runtime.block_on(async {
        for (grace_s, last_ms) in [(8.0, 2_900), (3.0, 1_200)] {
            let text = format!(
                "node = \"e\"\nip = \"127.0.0.1\"\nzone = \"z\"\nport_range = [7000, 7010]\n\
                 [bounds]\ngrace_s = {grace_s}\n"
            );
            let plane = Plane::new(Settings::parse(&text, Path::new("test.toml")).expect("settings"));
            tokio::time::advance(Duration::from_secs(9)).await;
            assert!(!plane.takes_no_more(), "no stop was asked for");
            plane.stopping.set(Some(Instant::now()));
            tokio::time::advance(Duration::from_millis(last_ms - 10)).await;
            assert!(!plane.takes_no_more(), "clients still come, as they have not heard of the stop");
            tokio::time::advance(Duration::from_millis(20)).await;
            assert!(plane.takes_no_more(), "it could be cut off by the end of the process");
        }
    });
}
