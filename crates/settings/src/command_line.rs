//! Command-line handling that all programs have in common.

use std::path::Path;
use std::process::ExitCode;

use pico_args::Arguments;

use crate::Settings;

/// Exit code of a program whose command failed.
const FAILURE_EXIT_CODE: u8 = 2;

/// Name, version and help text of a program.
pub struct Program {
    /// Name that precedes error messages.
    pub name: &'static str,
    /// Version that `--version` prints.
    pub version: &'static str,
    /// Text that `--help` prints.
    pub help: &'static str,
}

impl Program {
    /// Answers `--help` and `--version`, else runs `command`. If that fails, prints the error to standard error and returns exit
    /// code 2.
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
                ExitCode::from(FAILURE_EXIT_CODE)
            }
        }
    }
}

/// Runs the subcommand `check-settings FILE`, which reads and validates a settings file.
pub fn check_settings(file: &str) -> anyhow::Result<()> {
    let settings = Settings::read(Path::new(file))?;
    println!("{file}: settings of {} are in order", settings.node);
    Ok(())
}
