//! Runs fennelgauge's decisions for a benchmark program: reads frames of events from standard input, and answers each
//! with a frame of actions on standard output.

mod frame;
mod session;

use std::io::{self, BufReader, BufWriter, Write};
use std::process::ExitCode;

fn main() -> ExitCode {
    let mut input = BufReader::with_capacity(1 << 16, io::stdin().lock());
    let mut output = BufWriter::with_capacity(1 << 16, io::stdout().lock());
    let mut session = session::Session::default();
    loop {
        let outcome = match frame::read(&mut input) {
            Ok(None) => return ExitCode::SUCCESS,
            Ok(Some(batch)) => {
                let reply = session.answer(&batch);
                output.write_all(&reply).and_then(|()| output.flush())
            }
            Err(error) => Err(error),
        };
        if let Err(error) = outcome {
            eprintln!("fennelgauge-benchlink: {error}");
            return ExitCode::FAILURE;
        }
    }
}
