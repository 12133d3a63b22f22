//! Measures run time, and memory as the growth of the resident set, and prints the results as a
//! table.

use std::fs;
use std::time::Instant;

const BATCHES: usize = 5;
const PAGE_BYTES: u64 = 4_096;
const NANOS: f64 = 1e9;

/// Prints the header of the table of measurements.
pub fn print_heading() {
    println!("{:<44} {:>10} {:>14} {:>12}", "measurement", "size", "ns each", "bytes each");
}

/// Prints one measurement as a row of the table.
///
/// `nanos` and `bytes` are per operation or item; `None` is printed as a dash.
pub fn print_row(name: &str, size: usize, nanos: f64, bytes: Option<f64>) {
    let bytes = bytes.map_or_else(|| "-".to_owned(), |bytes| format!("{bytes:.0}"));
    println!("{name:<44} {size:>10} {nanos:>14.1} {bytes:>12}");
}

/// Returns the time of one call of `f` in nanoseconds, as the median over five batches of `calls`
/// calls each. `f` receives the index of the call in its batch.
pub fn median_nanos(calls: usize, mut f: impl FnMut(usize)) -> f64 {
    let mut batches: Vec<f64> = (0..BATCHES)
        .map(|_| {
            let start = Instant::now();
            (0..calls).for_each(&mut f);
            start.elapsed().as_secs_f64() * NANOS / calls as f64
        })
        .collect();
    batches.sort_by(f64::total_cmp);
    batches[BATCHES / 2]
}

/// Calls `f` once and returns its run time in nanoseconds and its result.
pub fn measure_once<R>(f: impl FnOnce() -> R) -> (f64, R) {
    let start = Instant::now();
    let result = f();
    (start.elapsed().as_secs_f64() * NANOS, result)
}

/// Returns the resident set size in bytes, or 0 on systems without `/proc/self/statm`.
pub fn resident_bytes() -> u64 {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1).and_then(|field| field.parse::<u64>().ok());
    pages.unwrap_or_default() * PAGE_BYTES
}

/// Calls `f` and returns its result and the number of bytes by which the resident set grew.
pub fn measure_growth<R>(f: impl FnOnce() -> R) -> (R, f64) {
    let before = resident_bytes();
    let result = f();
    (result, resident_bytes().saturating_sub(before) as f64)
}
