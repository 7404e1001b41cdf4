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
