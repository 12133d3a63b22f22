//! Writes log lines on a thread of its own, so that a reader who is slow or stuck never holds up
//! the instance; lines that do not fit are counted and reported.

use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{sync_channel, Receiver, SyncSender, TrySendError};
use std::sync::Arc;
use std::thread;

/// Lines that wait for a slow reader before further ones are left out.
pub const MAX_WAITING_LINES: usize = 512;

/// Hands lines to the thread that writes them; never blocks.
pub struct LogWriter {
    lines: SyncSender<Vec<u8>>,
    lost: Arc<AtomicU64>,
    total: Arc<AtomicU64>,
}

impl LogWriter {
    /// Starts the thread that writes lines to `output`.
    ///
    /// # Errors
    ///
    /// Returns why the thread cannot be started.
    pub fn start(output: Box<dyn Write + Send>) -> io::Result<Self> {
        let (lines, rx) = sync_channel(MAX_WAITING_LINES);
        let lost = Arc::new(AtomicU64::new(0));
        let counter = Arc::clone(&lost);
        thread::Builder::new()
            .name("log".into())
            .spawn(move || write_all(&rx, output, &counter))?;
        Ok(Self { lines, lost, total: Arc::default() })
    }

    /// Returns the counter of all lines that did not fit so far.
    pub fn total_lost(&self) -> Arc<AtomicU64> {
        Arc::clone(&self.total)
    }

    /// Returns the lines that were left out and not reported yet.
    pub fn lost(&self) -> u64 {
        self.lost.load(Ordering::Relaxed)
    }
}

impl Write for LogWriter {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        match self.lines.try_send(buf.to_vec()) {
            Ok(()) => {}
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                self.lost.fetch_add(1, Ordering::Relaxed);
                self.total.fetch_add(1, Ordering::Relaxed);
            }
        }
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn write_all(lines: &Receiver<Vec<u8>>, mut output: Box<dyn Write + Send>, lost: &AtomicU64) {
    for line in lines {
        let count = lost.swap(0, Ordering::Relaxed);
        if count > 0 {
            let report = format!(
                "{{\"level\":\"WARN\",\"message\":\"log lines lost\",\"count\":{count}}}\n"
            );
            let written = output.write_all(report.as_bytes());
            count_failed(written.is_err(), lost, count);
        }
        let written = output.write_all(&line).and_then(|()| output.flush());
        count_failed(written.is_err(), lost, 1);
    }
}

/// Counts lines as lost when nobody takes them; there is nowhere else to report that.
fn count_failed(is_failed: bool, lost: &AtomicU64, count: u64) {
    if is_failed {
        lost.fetch_add(count, Ordering::Relaxed);
    }
}
