//! Writes log lines on a dedicated thread, so that a slow or blocked reader of the output never
//! blocks the instance. Lines that do not fit into the bounded queue are dropped, counted and
//! reported in the log at the place where they are missing.

use std::collections::VecDeque;
use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use parking_lot::{Condvar, Mutex};

/// Capacity of the queue of lines that wait to be written; further lines are dropped.
pub const MAX_WAITING_LINES: usize = 512;
/// Number of waiting lines at which a queue that was full accepts lines again. A gap between two
/// accepted lines is then as long as the reader is slow, and gets one report.
const RESUME_WAITING_LINES: usize = MAX_WAITING_LINES / 2;

/// Entry of the queue, in the order in which the log shows it.
enum Queued {
    Line(Vec<u8>),
    /// Number of lines that were dropped at this place.
    Gap(u64),
    /// Number of all lines lost since the start, reported at the end of the log.
    Total(u64),
}

#[derive(Default)]
struct Queue {
    entries: VecDeque<Queued>,
    waiting_lines: usize,
    is_dropping: bool,
    /// Whether the thread writes an entry that it took from the queue.
    is_writing: bool,
    is_closed: bool,
}

impl Queue {
    /// Queues a line, or counts it as dropped at this place. Returns whether the line was accepted.
    fn push(&mut self, line: &[u8]) -> bool {
        self.is_dropping = match self.is_dropping {
            true => self.waiting_lines > RESUME_WAITING_LINES,
            false => self.waiting_lines >= MAX_WAITING_LINES,
        };
        if !self.is_dropping {
            self.waiting_lines += 1;
            self.entries.push_back(Queued::Line(line.to_vec()));
            return true;
        }
        match self.entries.back_mut() {
            Some(Queued::Gap(count)) => *count += 1,
            _ => self.entries.push_back(Queued::Gap(1)),
        }
        false
    }

    fn pop(&mut self) -> Option<Queued> {
        let entry = self.entries.pop_front()?;
        self.is_writing = true;
        self.waiting_lines -= usize::from(matches!(entry, Queued::Line(_)));
        Some(entry)
    }
}

#[derive(Default)]
struct Shared {
    queue: Mutex<Queue>,
    /// Signals a new entry or that the queue was closed.
    changed: Condvar,
    /// Signals that the thread has written everything.
    drained: Condvar,
    /// Lines lost since the last report in the log.
    unreported: AtomicU64,
    /// Lines dropped since the start because the queue was full.
    total_dropped: AtomicU64,
    /// Lines whose write failed.
    total_failed: AtomicU64,
}

/// Non-blocking writer that queues lines for the thread that writes them to the output. The thread
/// ends when the writer is dropped and all lines are written.
pub struct LogWriter {
    shared: Arc<Shared>,
}

/// Handle of a [`LogWriter`] that stays with the process while the logger owns the writer.
#[derive(Clone)]
pub struct LogHandle {
    shared: Arc<Shared>,
}

impl LogWriter {
    /// Starts the thread that writes lines to `output`.
    ///
    /// # Errors
    ///
    /// Returns an error when the thread cannot be started.
    pub fn start(output: Box<dyn Write + Send>) -> io::Result<Self> {
        let shared = Arc::new(Shared::default());
        let thread_shared = Arc::clone(&shared);
        thread::Builder::new()
            .name("log".into())
            .spawn(move || OutputThread { shared: thread_shared, output, lost: 0 }.run())?;
        Ok(Self { shared })
    }

    /// Returns a handle that counts lost lines and waits for lines to be written.
    pub fn handle(&self) -> LogHandle {
        LogHandle { shared: Arc::clone(&self.shared) }
    }

    /// Returns the number of lines lost since the last report in the log.
    pub fn lost(&self) -> u64 {
        self.shared.unreported.load(Ordering::Relaxed)
    }
}

impl Drop for LogWriter {
    fn drop(&mut self) {
        self.shared.queue.lock().is_closed = true;
        self.shared.changed.notify_one();
    }
}

impl Write for LogWriter {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        let mut queue = self.shared.queue.lock();
        if !queue.push(buf) {
            // Under the lock, so that the thread cannot report the line before it is counted.
            self.shared.unreported.fetch_add(1, Ordering::Relaxed);
            self.shared.total_dropped.fetch_add(1, Ordering::Relaxed);
        }
        drop(queue);
        self.shared.changed.notify_one();
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl LogHandle {
    /// Returns the number of lines dropped because the queue was full. Lines whose write failed are
    /// not included.
    pub fn total_dropped(&self) -> u64 {
        self.shared.total_dropped.load(Ordering::Relaxed)
    }

    /// Waits until all accepted lines are written and flushed, for `timeout` at most. If lines were
    /// lost since the start, a last line tells how many. Blocks the thread.
    ///
    /// Returns the number of lines that are not written, those whose write failed included.
    pub fn finish(&self, timeout: Duration) -> u64 {
        let deadline = Instant::now() + timeout;
        let failed = || self.shared.total_failed.load(Ordering::Relaxed);
        let lost = self.total_dropped() + failed();
        let mut queue = self.shared.queue.lock();
        if lost > 0 {
            queue.entries.push_back(Queued::Total(lost));
            self.shared.changed.notify_one();
        }
        let is_pending = |queue: &mut Queue| !queue.entries.is_empty() || queue.is_writing;
        self.shared.drained.wait_while_until(&mut queue, is_pending, deadline);
        queue.waiting_lines as u64 + u64::from(queue.is_writing) + failed()
    }
}

/// State of the thread that writes to the output.
struct OutputThread {
    shared: Arc<Shared>,
    output: Box<dyn Write + Send>,
    /// Lines lost since the last report that was written.
    lost: u64,
}

impl OutputThread {
    fn run(mut self) {
        while let Some(entry) = self.next_entry() {
            match entry {
                Queued::Line(line) => self.write_line(&line),
                Queued::Gap(count) => {
                    self.lost += count;
                    self.report_lost();
                }
                Queued::Total(count) => self.write_line(&total_report(count)),
            }
        }
    }

    /// Waits for the next entry. Returns `None` once the queue is closed and empty.
    fn next_entry(&mut self) -> Option<Queued> {
        let mut queue = self.shared.queue.lock();
        queue.is_writing = false;
        loop {
            if let Some(entry) = queue.pop() {
                return Some(entry);
            }
            self.shared.drained.notify_all();
            if queue.is_closed {
                return None;
            }
            self.shared.changed.wait(&mut queue);
        }
    }

    fn write_line(&mut self, line: &[u8]) {
        self.report_lost();
        if self.write(line).is_err() {
            // A log writer cannot log the error itself; the line is counted instead.
            self.lost += 1;
            self.shared.unreported.fetch_add(1, Ordering::Relaxed);
            self.shared.total_failed.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Reports the lines lost since the last report. If the write fails, the next report includes
    /// them.
    fn report_lost(&mut self) {
        if self.lost == 0 {
            return;
        }
        if self.write(&loss_report(self.lost)).is_ok() {
            self.shared.unreported.fetch_sub(self.lost, Ordering::Relaxed);
            self.lost = 0;
        }
    }

    fn write(&mut self, line: &[u8]) -> io::Result<()> {
        self.output.write_all(line)?;
        self.output.flush()
    }
}

fn loss_report(count: u64) -> Vec<u8> {
    format!("{{\"level\":\"WARN\",\"message\":\"log lines lost\",\"count\":{count}}}\n")
        .into_bytes()
}

fn total_report(total: u64) -> Vec<u8> {
    format!("{{\"level\":\"WARN\",\"message\":\"log ends with lines lost\",\"total\":{total}}}\n")
        .into_bytes()
}
