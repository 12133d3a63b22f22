//! Injected faults of a backend server.

use std::collections::VecDeque;
use std::time::Duration;

use parking_lot::Mutex;

/// Fault that a backend server injects into its handling of one request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    /// Runs the request and responds.
    #[default]
    None,
    /// Responds that it has shed the request, and does not run it.
    Shed,
    /// Runs the request and closes the connection before the first byte of the response.
    DisconnectBeforeResponse,
    /// Runs the request and closes the connection in the middle of the response.
    DisconnectDuringResponse,
    /// Runs the request and responds after an additional delay.
    Slow(Duration),
    /// Runs the request and responds with the attempt id of another attempt.
    WrongAttempt,
    /// Starts the request and never responds.
    Silent,
    /// Responds with status 500, and does not run the request.
    Fail,
}

/// Faults of the coming requests: those of a script in order, then a default for every request.
#[derive(Debug, Default)]
pub struct Faults {
    script: Mutex<VecDeque<Fault>>,
    default: Mutex<Fault>,
}

impl Faults {
    /// Appends faults to the script, one for each request.
    pub fn script(&self, faults: &[Fault]) {
        self.script.lock().extend(faults);
    }

    /// Sets the default, which applies to requests after the end of the script.
    pub fn set(&self, fault: Fault) {
        *self.default.lock() = fault;
    }

    /// Returns the fault of the next request, and removes it from the script.
    pub fn next(&self) -> Fault {
        self.script.lock().pop_front().unwrap_or_else(|| *self.default.lock())
    }
}
