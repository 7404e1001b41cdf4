//! What the command lines of all programs share.

use std::path::Path;
use std::process::ExitCode;

use pico_args::Arguments;

use crate::Settings;

/// Ends a program that could not do what it was asked.
const FAILED: u8 = 2;

/// A program with its help.
pub struct Program {
    pub name: &'static str,
    pub version: &'static str,
    pub help: &'static str,
}

impl Program {
    /// Answers `--help` and `--version`, else runs `command`; an error is printed and ends with 2.
    pub fn main(&self, command: impl FnOnce(Arguments) -> anyhow::Result<()>) -> ExitCode {
        let mut arguments = Arguments::from_env();
        if arguments.contains(["-h", "--help"]) {
            print!("{}", self.help);
            return ExitCode::SUCCESS;
        }
        if arguments.contains(["-V", "--version"]) {
            println!("{} {}", self.name, self.version);
            return ExitCode::SUCCESS;
        }
        match command(arguments) {
            Ok(()) => ExitCode::SUCCESS,
            Err(reason) => {
                eprintln!("{}: {reason:#}", self.name);
                ExitCode::from(FAILED)
            }
        }
    }
}

/// The subcommand `check-settings FILE`.
pub fn check_settings(file: &str) -> anyhow::Result<()> {
    let settings = Settings::read(Path::new(file))?;
    println!("{file}: settings of {} are in order", settings.node);
    Ok(())
}
