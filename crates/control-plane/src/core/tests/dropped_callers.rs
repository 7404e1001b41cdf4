//! An operator that leaves drops its request at any await. What a member of the core has begun by then it completes.

use std::future::{poll_fn, Future};
use std::path::PathBuf;
use std::pin::pin;
use std::task::Poll;

use super::*;

/// More polls than a change needs, however often it is woken.
const MAX_POLLS: usize = 60;

/// Polls a future at most `polls` times, as often as it is woken, and then drops it. Returns its output if it was complete.
async fn poll_times<F: Future>(future: F, polls: usize) -> Option<F::Output> {
    let mut future = pin!(future);
    let mut left = polls;
    poll_fn(move |context| {
        left -= 1;
        match future.as_mut().poll(context) {
            Poll::Ready(output) => Poll::Ready(Some(output)),
            Poll::Pending if left == 0 => Poll::Ready(None),
            Poll::Pending => Poll::Pending,
        }
    })
    .await
}

/// Directories of the machines' disks, deleted when dropped.
struct Disks(PathBuf);

impl Disks {
    fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("fennelgauge-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&path);
        Self(path)
    }

    fn settings(&self, number: usize) -> String {
        format!("data_dir = {:?}\n", self.0.join(format!("m{number}")))
    }
}

impl Drop for Disks {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Returns the generation of the configuration on a machine's disk, as a restart would find it.
fn generation_on_disk(core: &Core) -> u64 {
    let data_dir = core.settings.data_dir.clone().expect("a disk");
    let copy = data_dir.with_extension("copy");
    let _ = std::fs::remove_dir_all(&copy);
    copy_directory(&data_dir, &copy);
    let settings = Settings { data_dir: Some(copy), bootstrap: false, ..(*core.settings).clone() };
    Storage::open(&settings).expect("a readable disk").stored.value.generation()
}

fn copy_directory(from: &Path, to: &Path) {
    std::fs::create_dir_all(to).expect("a directory");
    for entry in std::fs::read_dir(from).expect("a directory").flatten() {
        let target = to.join(entry.file_name());
        match entry.path().is_dir() {
            true => copy_directory(&entry.path(), &target),
            false => drop(std::fs::copy(entry.path(), target)),
        }
    }
}

/// Guards against a head whose state is ahead of its disk and its messages because the caller of a change was dropped
/// between the change and the write.
#[test]
fn change_whose_caller_is_dropped_at_any_await_is_written_and_sent_or_not_begun() {
    run_local(async {
        let disks = Disks::new("dropped-callers");
        let machines = start_three_on(4, |number| disks.settings(number)).await;
        let head = until(&machines, "a head", |core| core.is_head()).await;
        apply_change(&head, &put(0, 1)).await;
        let mut generation = 1;
        let mut completed = false;
        for polls in 1..MAX_POLLS {
            let change = put(generation, generation + 1);
            let dropped = head.answer(CoreRequest::ChangeConfiguration(change));
            completed = poll_times(dropped, polls).await.is_some();
            // A step that has begun holds its lock until it is complete.
            drop(head.step_lock.lock().await);
            let newest = head.coordinator.borrow().replica().value().generation();
            let name = format!("dropped after {polls} polls, the head is at {newest} of {}", generation + 1);
            assert_eq!(generation_on_disk(&head), newest, "{name}: its disk is not");
            for machine in &machines {
                let machine = std::slice::from_ref(machine);
                until(machine, &name, |core| core.known.generation() >= newest).await;
            }
            // Whatever became of it, the same change sent again is acknowledged, and the next one builds on it.
            apply_change(&head, &put(generation, generation + 1)).await;
            generation += 1;
            assert_eq!(generation_on_disk(&head), generation, "{name}: acknowledged, and not on the disk");
            if completed {
                break;
            }
        }
        assert!(completed, "a change takes more polls than were tried");
    });
}

/// Guards against an operator's time limit that ends a step of the head (the second review, by reading).
#[test]
fn change_whose_caller_times_out_at_once_is_written_and_sent_or_not_begun() {
    run_local(async {
        let disks = Disks::new("timed-out-callers");
        let machines = start_three_on(5, |number| disks.settings(number)).await;
        let head = until(&machines, "a head", |core| core.is_head()).await;
        apply_change(&head, &put(0, 1)).await;
        for step in 0..20_u32 {
            let change = put(head.known.generation(), head.known.generation() + 1);
            let answer = head.answer(CoreRequest::ChangeConfiguration(change));
            let _ = tokio::time::timeout(Duration::from_micros(u64::from(step) * 50), answer).await;
            drop(head.step_lock.lock().await);
            let newest = head.coordinator.borrow().replica().value().generation();
            assert_eq!(generation_on_disk(&head), newest, "step {step}");
            for machine in &machines {
                let machine = std::slice::from_ref(machine);
                until(machine, "the change everywhere", |core| core.known.generation() >= newest).await;
            }
        }
    });
}
