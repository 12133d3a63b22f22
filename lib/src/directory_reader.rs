//! Lists and watches the platform's object store while this instance is a reader.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::cookie_instance::CookieInstance;
use crate::directory::{Directory, ERA_SETTLE_TIME};
use crate::directory_state::Audience;
use crate::http_call::invalid_response;
use crate::ids::Version;
use crate::log_message::{FOLLOWING, HISTORY_GONE, STORE_LOST, YIELDED};
use crate::metrics::Metrics;
use crate::platform::{Listing, Object, Platform, PlatformError};
use crate::route::{DirectoryRecord, Part, RecordBody, Registration};
use crate::routing_document;
use crate::store_version::DisplayVersion;

/// Time for which a watch waits for a change. A half-open connection is detected after this time.
pub const WATCH_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Pause between the answer to a watch and the next watch, so that a burst of changes takes few
/// calls.
pub const WATCH_PAUSE: Duration = Duration::from_millis(250);
/// Value of [`WATCH_PAUSE`] for registrations; longer, since many of them change each second.
pub const TARGETS_WATCH_PAUSE: Duration = Duration::from_millis(450);
/// Time since the last confirmation by the store after which registrations may have expired only
/// because their targets could not renew them.
pub const POSSIBLE_EXPIRY_AGE: Duration = Duration::from_millis(3_300);
/// Time between two checks of whether to start or stop reading.
const POLL_INTERVAL: Duration = Duration::from_millis(40);
/// Value of [`POLL_INTERVAL`] until the directory is complete, so that a fresh instance becomes
/// ready soon.
const START_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Lists and watches the store whenever this instance is elected to do so. Never returns.
pub async fn run(instance: Arc<CookieInstance>, platform: Arc<dyn Platform>) {
    let reader = Reader { instance: &instance, platform: &*platform };
    loop {
        let pause = if instance.has_directory() { POLL_INTERVAL } else { START_POLL_INTERVAL };
        tokio::time::sleep(pause).await;
        let now = Instant::now();
        let result = if instance.should_list(now) {
            reader.list_once().await
        } else if instance.should_start_reading(now) {
            reader.list_and_watch_until_stopped().await
        } else {
            Ok(())
        };
        if let Err(err) = result {
            log::warn!(cause = err.to_string().as_str(); "{STORE_LOST}");
            Metrics::count(&instance.metrics.platform_calls, "failed");
            instance.note_store_failed(Instant::now());
        }
    }
}

async fn wait_until_stopped(instance: &CookieInstance) {
    loop {
        tokio::time::sleep(POLL_INTERVAL).await;
        if instance.should_stop_reading(Instant::now()) {
            return;
        }
    }
}

struct Reader<'a> {
    instance: &'a CookieInstance,
    platform: &'a dyn Platform,
}

impl Reader<'_> {
    /// Lists and watches the store until this instance steps down in favour of another reader.
    async fn list_and_watch_until_stopped(&self) -> Result<(), PlatformError> {
        tokio::select! {
            result = self.list_and_watch() => result,
            () = wait_until_stopped(self.instance) => {
                log::info!("{YIELDED}");
                self.instance.note_reading_stopped();
                Ok(())
            }
        }
    }

    /// Lists all parts once, without watching them afterwards.
    async fn list_once(&self) -> Result<(), PlatformError> {
        self.list_all(self.instance.listing_audience(), self.may_have_expired()).await?;
        Ok(())
    }

    /// Lists all parts and then watches them. Returns only when the store fails.
    async fn list_and_watch(&self) -> Result<(), PlatformError> {
        let [routing, targets, outages] =
            self.list_all(Audience::Others, self.may_have_expired()).await?;
        let version = DisplayVersion(targets.version).to_string();
        log::info!(version = version.as_str(); "{FOLLOWING}");
        self.instance.note_reading_started();
        tokio::try_join!(
            self.watch(Part::Routing, routing),
            self.watch(Part::Targets, targets),
            self.watch(Part::Outages, outages),
        )?;
        Ok(())
    }

    /// Lists all parts. With `may_have_expired`, registrations absent from the listing are kept,
    /// since their targets may still run and register again.
    async fn list_all(
        &self,
        audience: Audience,
        may_have_expired: bool,
    ) -> Result<[Listed; Part::ALL.len()], PlatformError> {
        // A single call first, so that an unavailable store costs one call and not three.
        let outages = self.list(Part::Outages, false, audience).await?;
        let (routing, targets) = tokio::try_join!(
            self.list(Part::Routing, false, audience),
            self.list(Part::Targets, may_have_expired, audience),
        )?;
        Ok([routing, targets, outages])
    }

    fn may_have_expired(&self) -> bool {
        let now = Instant::now();
        let age = self.instance.with_directory(|directory| directory.age(Part::Targets, now));
        age.is_some_and(|age| age >= POSSIBLE_EXPIRY_AGE)
    }

    /// Lists a part and publishes the differences, without removals if `keeps_absent` is set. Soon
    /// after a restore of the store, only those differences are published that are no trace of it.
    async fn list(
        &self,
        part: Part,
        keeps_absent: bool,
        audience: Audience,
    ) -> Result<Listed, PlatformError> {
        let requested_at = Instant::now();
        let listing = self.platform.list(part.kind()).await?;
        Metrics::count(&self.instance.metrics.platform_calls, "listed");
        let version = listing.version;
        let records = decode(part, listing)?;
        let (mut differences, is_settled) = self.instance.with_directory(|directory| {
            let is_settled = directory.is_settled(part, version, requested_at);
            (differences(directory, part, version, records, is_settled), is_settled)
        });
        if keeps_absent {
            differences.retain(|record| !record.is_removed());
        }
        self.instance.publish(part, differences, version, requested_at, audience);
        let is_final = is_settled && !keeps_absent;
        let relist_at = (!is_final).then(|| Instant::now() + ERA_SETTLE_TIME);
        Ok(Listed { version, relist_at })
    }

    /// Watches a part after a listing, and lists it again when that listing says so.
    async fn watch(&self, part: Part, listed: Listed) -> Result<(), PlatformError> {
        let Listed { mut version, mut relist_at } = listed;
        loop {
            let requested_at = Instant::now();
            if relist_at.is_some_and(|at| requested_at >= at) {
                Listed { version, relist_at } = self.relist(part).await?;
                continue;
            }
            let wait = relist_at.map_or(WATCH_TIMEOUT, |at| WATCH_TIMEOUT.min(at - requested_at));
            let result = self.platform.watch(&[part.kind()], version, wait).await;
            let changes = match result {
                Err(PlatformError::Compacted) => {
                    log::warn!(part:? = part; "{HISTORY_GONE}");
                    Listed { version, relist_at } =
                        self.list(part, false, Audience::Others).await?;
                    continue;
                }
                result => result?,
            };
            Metrics::count(&self.instance.metrics.platform_calls, "watched");
            version = version.max(changes.version);
            let is_unchanged = changes.objects.is_empty();
            let records = self.changes(part, changes)?;
            let confirmed = if is_unchanged { requested_at } else { Instant::now() };
            self.instance.publish(part, records, version, confirmed, Audience::Others);
            tokio::time::sleep(pause(part)).await;
        }
    }

    /// Lists a part once what it lacked before has had time to return. After a restore of the
    /// store, all instances then get the complete part, since some may have changes that this one
    /// never had and the store has lost.
    async fn relist(&self, part: Part) -> Result<Listed, PlatformError> {
        let listed = self.list(part, false, Audience::Others).await?;
        if self.instance.with_directory(Directory::has_changed_era) {
            self.instance.publish_complete(part);
        }
        Ok(listed)
    }

    fn changes(&self, part: Part, listing: Listing) -> Result<Vec<DirectoryRecord>, PlatformError> {
        if part == Part::Routing {
            let Some(newest) = newest_document(listing) else { return Ok(Vec::new()) };
            let (version, records) = (newest.version, decode(part, newest)?);
            return Ok(self
                .instance
                .with_directory(|it| differences(it, part, version, records, true)));
        }
        let mut records = Vec::new();
        for object in &listing.objects {
            records.push(match object_body(part, object)? {
                Some(body) => DirectoryRecord {
                    name: object.name.clone(),
                    version: object.version,
                    body: Some(body),
                },
                None => self
                    .instance
                    .with_directory(|it| it.removal(part, &object.name, object.version)),
            });
        }
        Ok(records)
    }
}

/// Outcome of a listing.
struct Listed {
    /// Version up to which the part is complete.
    version: Version,
    /// Time at which the part has to be listed again; `None` if the listing was final.
    relist_at: Option<Instant>,
}

/// Returns the differences between a part and a listing that can be merged.
fn differences(
    directory: &Directory,
    part: Part,
    version: Version,
    listed: Vec<NamedRecord>,
    is_settled: bool,
) -> Vec<DirectoryRecord> {
    let is_stale_routing = part == Part::Routing
        && directory.routing_version().is_some()
        && (listed.is_empty() || directory.is_older_routing(listed.iter().map(|(_, _, it)| it)));
    if is_stale_routing {
        log::warn!(
            version = directory.routing_version(), store = DisplayVersion(version).to_string().as_str();
            "the store has an older routing document than the one in force, which stays"
        );
        return Vec::new();
    }
    let differences = directory.differences(part, version, listed);
    if is_settled {
        differences
    } else {
        directory.unambiguous(part, differences)
    }
}

/// Returns only the newest version of a document that every write replaces as a whole; the older
/// versions are superseded.
fn newest_document(listing: Listing) -> Option<Listing> {
    let written = listing.objects.into_iter().filter(|object| object.body.is_some());
    let newest = written.max_by_key(|object| object.version)?;
    Some(Listing { version: listing.version, objects: vec![newest] })
}

type NamedRecord = (smol_str::SmolStr, Version, RecordBody);

fn decode(part: Part, listing: Listing) -> Result<Vec<NamedRecord>, PlatformError> {
    let mut records = Vec::new();
    for object in listing.objects {
        if part == Part::Routing {
            let Some(body) = object.body else { continue };
            let decoded = routing_document::decode(&body).map_err(invalid_response)?;
            let version = object.version;
            let named = decoded.routing.into_records().into_iter();
            records.extend(named.map(|(name, body)| (name, version, body)));
        } else if let Some(body) = object_body(part, &object)? {
            records.push((object.name, object.version, body));
        }
    }
    Ok(records)
}

fn object_body(part: Part, object: &Object) -> Result<Option<RecordBody>, PlatformError> {
    let Some(body) = &object.body else { return Ok(None) };
    if part == Part::Outages {
        return Ok(Some(RecordBody::Outage));
    }
    let registration: Registration =
        serde_json::from_value(body.clone()).map_err(invalid_response)?;
    Ok(Some(RecordBody::Registration(registration)))
}

fn pause(part: Part) -> Duration {
    match part {
        Part::Targets => TARGETS_WATCH_PAUSE,
        Part::Routing | Part::Outages => WATCH_PAUSE,
    }
}
