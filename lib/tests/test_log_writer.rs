//! The log writer never blocks its caller.

#![allow(clippy::unwrap_used)]

use std::io::{self, Write};
use std::sync::mpsc::{channel, Receiver, Sender};

use hollyhead::log_writer::{LogWriter, MAX_WAITING_LINES};

/// An output that blocks each write until the test permits it.
struct BlockedOutput {
    permits: Receiver<()>,
    written: Sender<String>,
}

impl Write for BlockedOutput {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.permits.recv().map_err(io::Error::other)?;
        self.written.send(String::from_utf8_lossy(buf).into_owned()).map_err(io::Error::other)?;
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn write_reader_that_is_stuck_loses_lines_and_hears_of_it() {
    let (permit, permits) = channel();
    let (written, lines) = channel();
    let mut writer = LogWriter::start(Box::new(BlockedOutput { permits, written })).unwrap();
    for number in 0..10 * MAX_WAITING_LINES {
        writer.write_all(format!("line {number}\n").as_bytes()).unwrap();
    }
    let lost = writer.lost();
    assert!(lost >= 9 * MAX_WAITING_LINES as u64 - 1, "{lost}");
    for _ in 0..10 * MAX_WAITING_LINES {
        permit.send(()).unwrap();
    }
    drop(writer);
    let seen: Vec<_> = lines.iter().collect();
    assert_eq!(seen[0], "line 0\n");
    assert!(seen.iter().any(|line| line.contains(&format!("\"count\":{lost}"))), "{:?}", seen[1]);
}
