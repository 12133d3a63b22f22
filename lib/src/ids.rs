//! Type aliases for the identifiers that several modules share.

use smol_str::SmolStr;

/// Name of an instance, unique in the deployment.
pub type InstanceId = SmolStr;
/// Name of a service.
pub type ServiceId = SmolStr;
/// Name of a target of a service.
pub type TargetId = SmolStr;
/// Name of a data centre.
pub type DataCentreId = SmolStr;
/// Version that the platform assigns to an object; it only increases. For a store that can be
/// restored from a copy, it holds the store's era too; see [`crate::store_version`].
pub type Version = u64;
/// Identifier of a default table's contents: a digest of all inputs of the table, not a counter.
/// Equal generations mean equal tables, and generations have no order in time.
pub type Generation = u64;
/// Number of one run of an instance; later runs have larger numbers.
pub type Epoch = u64;
/// Index of a bucket of flows, below [`crate::owner::BUCKET_COUNT`].
pub type BucketId = u16;
/// Keyed hash of a flow.
pub type FlowHash = u64;
/// Number in the packets of an open flow that identifies its target; never 0.
pub type Cookie = u32;
/// Number in a datagram by which a target recognises that the datagram is addressed to it.
pub type TargetToken = u64;
/// Name of a route.
pub type RouteId = SmolStr;
