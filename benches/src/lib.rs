//! Shared code of the benchmarks, each of which compares its figures with a baseline of the same
//! run.

pub mod fixtures;
pub mod measure;
