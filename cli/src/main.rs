//! Command line tool for operators.

mod commands;
mod records;

use std::process::ExitCode;

fn main() -> ExitCode {
    let command = commands::command().run();
    match commands::run(&command) {
        Ok(code) => code,
        Err(err) => {
            eprintln!("hollyhead: {err:#}");
            ExitCode::FAILURE
        }
    }
}
