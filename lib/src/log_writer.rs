//! Writes log lines on a dedicated thread, so that a slow or blocked reader of the output never
//! blocks the instance. Lines that do not fit into the bounded queue are dropped, counted and
//! reported in the log.

use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{sync_channel, Receiver, SyncSender, TrySendError};
use std::sync::Arc;
use std::thread;

/// Capacity of the queue of lines that wait to be written; further lines are dropped.
pub const MAX_WAITING_LINES: usize = 512;

/// Non-blocking writer that queues lines for the thread that writes them to the output.
pub struct LogWriter {
    lines: SyncSender<Vec<u8>>,
    /// Lines lost since the last report in the log.
    unreported: Arc<AtomicU64>,
    /// Lines dropped since the start because the queue was full.
    total_dropped: Arc<AtomicU64>,
}

impl LogWriter {
    /// Starts the thread that writes lines to `output`.
    ///
    /// # Errors
    ///
    /// Returns an error when the thread cannot be started.
    pub fn start(output: Box<dyn Write + Send>) -> io::Result<Self> {
        let (lines, rx) = sync_channel(MAX_WAITING_LINES);
        let unreported = Arc::new(AtomicU64::new(0));
        let counter = Arc::clone(&unreported);
        thread::Builder::new()
            .name("log".into())
            .spawn(move || write_lines(&rx, output, &counter))?;
        Ok(Self { lines, unreported, total_dropped: Arc::default() })
    }

    /// Returns the counter of all lines dropped because the queue was full. Lines whose write
    /// failed are not included.
    pub fn total_lost(&self) -> Arc<AtomicU64> {
        Arc::clone(&self.total_dropped)
    }

    /// Returns the number of lines lost since the last report in the log.
    pub fn lost(&self) -> u64 {
        self.unreported.load(Ordering::Relaxed)
    }
}

impl Write for LogWriter {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        match self.lines.try_send(buf.to_vec()) {
            Ok(()) => {}
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                self.unreported.fetch_add(1, Ordering::Relaxed);
                self.total_dropped.fetch_add(1, Ordering::Relaxed);
            }
        }
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn write_lines(
    lines: &Receiver<Vec<u8>>,
    mut output: Box<dyn Write + Send>,
    unreported: &AtomicU64,
) {
    for line in lines {
        let count = unreported.swap(0, Ordering::Relaxed);
        if count > 0 {
            let report = format!(
                "{{\"level\":\"WARN\",\"message\":\"log lines lost\",\"count\":{count}}}\n"
            );
            let written = output.write_all(report.as_bytes());
            count_if_failed(written.is_err(), unreported, count);
        }
        let written = output.write_all(&line).and_then(|()| output.flush());
        count_if_failed(written.is_err(), unreported, 1);
    }
}

/// Counts lines as lost when their write failed; a log writer cannot log the error itself.
fn count_if_failed(is_failed: bool, unreported: &AtomicU64, count: u64) {
    if is_failed {
        unreported.fetch_add(count, Ordering::Relaxed);
    }
}
