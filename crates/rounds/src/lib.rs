//! Rounds of policy: the same days with the same seeds are played for two texts of the project, and compared in pairs.

pub mod compare;
pub mod pairs;
pub mod play;
pub mod report;
