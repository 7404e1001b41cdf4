//! Troubles at a moment: what the processes write in their logs is read as it comes, and a blow that waits for a line of it falls.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fs::File;
use std::io::{Read, Seek, SeekFrom};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use strum::EnumIter;
use tokio::time::sleep;

use crate::schedule::Target;
use crate::world::{Phase, World};

const LOOK_EVERY: Duration = Duration::from_millis(10);

/// Something that a process tells in its log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, EnumIter)]
pub enum Moment {
    /// A store sends a whole copy.
    CopySent,
    /// A store has become a copy, which goes to its disk.
    CopyTaken,
    /// A joining store has everything.
    Holds,
    /// A store has answered a reader.
    Read,
    /// The head of the core has worked out another placement.
    Placed,
    /// A configuration is in force at a process.
    Configured,
}

impl Moment {
    /// What the line holds.
    fn words(self) -> &'static str {
        match self {
            Self::CopySent => "a whole copy of",
            Self::CopyTaken => "to a copy up to",
            Self::Holds => "has everything in view",
            Self::Read => "is read at",
            Self::Placed => ", is Group",
            Self::Configured => "is in force",
        }
    }
}

/// What is done at the moment, to the process that told of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, EnumIter)]
pub enum Blow {
    Kill,
    Freeze,
    CutOff,
    /// What it sends does not arrive.
    CutOneWay,
    Reset,
    Slow,
}

/// A blow that waits for its moment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Aimed {
    pub moment: Moment,
    pub blow: Blow,
    pub for_: Duration,
}

/// Blows that wait.
#[derive(Default)]
pub struct Waiting(RefCell<Vec<Aimed>>);

impl Waiting {
    pub fn add(&self, aimed: Aimed) {
        self.0.borrow_mut().push(aimed);
    }

    /// The blow that falls with a line, if one waits for it.
    fn falls(&self, line: &str) -> Option<Aimed> {
        let mut waiting = self.0.borrow_mut();
        let place = waiting.iter().position(|aimed| line.contains(aimed.moment.words()))?;
        Some(waiting.swap_remove(place))
    }
}

/// A log that is read as it grows.
struct Tail {
    path: PathBuf,
    read: u64,
    rest: String,
}

impl Tail {
    /// Whole lines that came since the last look.
    fn lines(&mut self) -> Vec<String> {
        let mut bytes = Vec::new();
        let opened = File::open(&self.path).and_then(|mut file| {
            file.seek(SeekFrom::Start(self.read))?;
            file.read_to_end(&mut bytes)
        });
        self.read += opened.unwrap_or(0) as u64;
        self.rest.push_str(&String::from_utf8_lossy(&bytes));
        let whole = self.rest.rfind('\n').map_or(0, |end| end + 1);
        let lines: String = self.rest.drain(..whole).collect();
        lines.lines().map(str::to_owned).collect()
    }
}

/// Reads the logs without end, and has blows fall by `strike`.
pub async fn watch_logs(world: Rc<World>, strike: impl Fn(Target, Aimed)) {
    let mut tails: BTreeMap<Target, Tail> = BTreeMap::new();
    for target in world.targets() {
        let path = log_of(&world.tier.directory, target);
        tails.insert(target, Tail { path, read: 0, rest: String::new() });
    }
    while world.phase.get() <= Phase::Troubled {
        sleep(LOOK_EVERY).await;
        for (target, tail) in &mut tails {
            for line in tail.lines() {
                if let Some(aimed) = world.waiting.falls(&line) {
                    world.events.note(format_args!("--- {target}: {aimed:?}"));
                    strike(*target, aimed);
                }
            }
        }
    }
}

/// Where a process writes its log.
pub fn log_of(folder: &Path, target: Target) -> PathBuf {
    folder.join(format!("{target}.log"))
}

#[cfg(test)]
mod tests;
