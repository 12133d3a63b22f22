//! Positions in the history of the platform's store.
//!
//! The store counts its changes with a revision. It may be restored from a copy that is some seconds
//! old: revisions then go back and are assigned again to other changes, and the era rises by one. A
//! [`Version`] holds both numbers, the era in the upper bits. Versions are thus ordered by era and
//! then by revision, and a change after a restore is newer than any change before it.
//!
//! A version of a store without eras has the era 0 and equals the revision. Instances of builds that
//! know no eras can therefore be sent versions with an era, and order them correctly.

use std::fmt;

use crate::ids::Version;

/// Number of restores of the store.
pub type Era = u16;
/// Number of changes of the store since its creation, less those that a restore has lost.
pub type Revision = u64;

const REVISION_BITS: u32 = 48;
/// Largest revision that a version can hold.
pub const MAX_REVISION: Revision = (1 << REVISION_BITS) - 1;

/// Returns the version of a revision in an era, or `None` if the revision is larger than
/// [`MAX_REVISION`].
pub fn version(era: Era, revision: Revision) -> Option<Version> {
    (revision <= MAX_REVISION).then_some(Version::from(era) << REVISION_BITS | revision)
}

/// Returns the era of a version.
pub fn era(version: Version) -> Era {
    (version >> REVISION_BITS) as Era
}

/// Returns the revision of a version.
pub fn revision(version: Version) -> Revision {
    version & MAX_REVISION
}

/// Displays a version for logs, as `era.revision`.
#[derive(Clone, Copy, Debug)]
pub struct DisplayVersion(pub Version);

impl fmt::Display for DisplayVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", era(self.0), revision(self.0))
    }
}
