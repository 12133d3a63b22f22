//! Faults that a backend server shows to requests.

use std::collections::VecDeque;
use std::time::Duration;

use parking_lot::Mutex;

/// What a backend server does to one request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    /// Runs and answers it.
    #[default]
    None,
    /// Declares that it shed the request, without running it.
    Shed,
    /// Runs it and closes the connection before the first byte of the answer.
    DisconnectBeforeResponse,
    /// Runs it and closes the connection in the middle of the answer.
    DisconnectDuringResponse,
    /// Runs it and answers later.
    Slow(Duration),
    /// Runs it and sends the answer to another attempt.
    WrongAttempt,
    /// Runs it and never answers.
    Silent,
    /// Fails it with status 500, without running it.
    Fail,
}

/// Faults to come: a script first, then the same for every request.
#[derive(Debug, Default)]
pub struct Faults {
    script: Mutex<VecDeque<Fault>>,
    rest: Mutex<Fault>,
}

impl Faults {
    /// Adds faults for the next requests, in order.
    pub fn script(&self, faults: &[Fault]) {
        self.script.lock().extend(faults);
    }

    /// Sets the fault of the requests after the script.
    pub fn set(&self, fault: Fault) {
        *self.rest.lock() = fault;
    }

    /// Takes the fault of the next request.
    pub fn next(&self) -> Fault {
        self.script.lock().pop_front().unwrap_or_else(|| *self.rest.lock())
    }
}
