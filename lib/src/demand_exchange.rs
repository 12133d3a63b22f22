//! Exchange of demand between instances: merges their reports into the demand of each data centre.
//! It makes decisions and does no I/O.
//!
//! Load pattern: one instance sees a small, noisy sample of its data centre's demand and nothing of
//! the others'. Each instance sends two small reports per second, whatever the size of the fleet, and
//! fewer while there is room everywhere: by turns one to a random instance of its own data centre,
//! with its own rates, and one to a random instance of another data centre. Both carry the sender's
//! estimates of data centres, so that these spread epidemically. An estimate is an average of
//! reports by distinct instances, so that a single wrong report changes it little. Its age is that of
//! the reports behind it, so that it expires even while instances relay it to each other.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use tokio::time::Instant;

use crate::collections::HashMap;
use crate::ids::{DataCentreId, InstanceId, ServiceId};
use crate::room::Demand;
use crate::service_demand::RATE_TIME_CONSTANT;
use crate::view::{Member, View};

/// Time between two reports of an instance while a data centre may soon spill over.
pub const BUSY_REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Time between two reports while there is room everywhere, which spares the links.
pub const CALM_REPORT_INTERVAL: Duration = Duration::from_millis(1_500);
/// Age above which an estimate of another data centre is not used, counted from the report of one of
/// its instances.
pub const MAX_RATES_AGE: Duration = Duration::from_secs(8);
/// Age above which the rates of another instance of the own data centre are not used.
pub const MAX_INSTANCE_RATES_AGE: Duration = Duration::from_secs(3);
/// Largest number of services in a report, those with the most requests.
pub const MAX_REPORTED_SERVICES: usize = 16;
/// Largest number of data centres in a report, so that it fits one datagram.
pub const MAX_REPORTED_DATA_CENTRES: usize = 8;
/// Number of the latest samples that an estimate is made of.
const MAX_SAMPLES: usize = 5;
/// Number of samples from which outlying ones are capped. Of two, neither is known to be the wrong
/// one.
const MIN_CAPPED_SAMPLES: usize = 3;
/// Time without a pause after which the own rates have reached 86 % of the truth and are passed on.
pub const SETTLING_TIME: Duration = RATE_TIME_CONSTANT.saturating_mul(2);
/// Time between two ticks from which an instance was suspended, and has missed requests.
const MIN_PAUSE: Duration = Duration::from_millis(500);
/// Factor on the median at which a sample is capped before the mean is taken.
const CAP_FACTOR: f64 = 2.0;
/// Rate up to which a sample is never capped, since counts of a few requests vary widely.
const MIN_CAP_PER_SECOND: f64 = 2.0;
/// Number of units of a rate on the wire per request per second.
const WIRE_UNITS: f64 = 100.0;

copy_type! {
    /// Rates of one service, in hundredths of requests per second.
    pub struct WireRate {
        /// All requests.
        pub requests: u32,
        /// Requests that were turned away.
        pub turned_away: u32,
    }
}

value_type! {
    /// Estimated rates per instance of a data centre.
    pub struct DataCentreRates {
        /// Data centre of the callers.
        pub data_centre: DataCentreId,
        /// Age of the rates; whole milliseconds on the wire.
        #[serde(with = "crate::millis")]
        pub age: Duration,
        /// Rates in the order of [`DemandReport::services`]; `None` if a rate is unknown.
        pub rates: Vec<Option<WireRate>>,
    }

    /// Report of an instance on the demand of callers.
    pub struct DemandReport {
        /// Services that the report lists.
        pub services: Vec<ServiceId>,
        /// Whether all other services have no requests.
        pub is_complete: bool,
        /// The sender's own rates in the order of `services`. Empty if the receiver is in another
        /// data centre.
        pub own: Vec<WireRate>,
        /// Estimates of the sender.
        pub data_centres: Vec<DataCentreRates>,
    }
}

impl From<Demand> for WireRate {
    fn from(demand: Demand) -> Self {
        let units = |rate: f64| (rate * WIRE_UNITS).round() as u32;
        Self {
            requests: units(demand.requests_per_second),
            turned_away: units(demand.turned_away_per_second),
        }
    }
}

impl From<WireRate> for Demand {
    fn from(rate: WireRate) -> Self {
        Self {
            requests_per_second: f64::from(rate.requests) / WIRE_UNITS,
            turned_away_per_second: f64::from(rate.turned_away) / WIRE_UNITS,
        }
    }
}

/// Rates of services per instance.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct InstanceRates {
    services: BTreeMap<ServiceId, Demand>,
    /// Whether all other services have no requests.
    is_complete: bool,
}

impl InstanceRates {
    /// Creates rates outside of which no service has requests.
    pub fn complete(services: impl IntoIterator<Item = (ServiceId, Demand)>) -> Self {
        Self { services: services.into_iter().collect(), is_complete: true }
    }

    /// Returns the rate of a service; `None` if it is unknown.
    pub fn get(&self, service: &str) -> Option<Demand> {
        let listed = self.services.get(service).copied();
        listed.or_else(|| self.is_complete.then(Demand::default))
    }
}

/// Rates as one instance reported them.
#[derive(Clone, Debug)]
struct Sample {
    sender: InstanceId,
    observed_at: Instant,
    rates: InstanceRates,
}

/// Demand of the callers of one data centre.
#[derive(Clone, Debug, PartialEq)]
pub struct DataCentreDemand {
    /// Data centre of the callers.
    pub data_centre: DataCentreId,
    /// Number of its live instances.
    pub instances: usize,
    /// Time at which the rates were observed; `None` if they are missing or out of date.
    pub observed_at: Option<Instant>,
    /// Mean rates per instance, empty while `observed_at` is `None`.
    per_instance: InstanceRates,
}

impl DataCentreDemand {
    /// Returns the demand for a service; `None` if it is missing or out of date.
    pub fn demand(&self, service: &str) -> Option<Demand> {
        self.observed_at?;
        let rate = self.per_instance.get(service)?;
        let instances = self.instances as f64;
        Some(Demand {
            requests_per_second: rate.requests_per_second * instances,
            turned_away_per_second: rate.turned_away_per_second * instances,
        })
    }
}

/// Reports that an instance has received, and the estimates that follow from them.
#[derive(Debug)]
pub struct DemandExchange {
    instance: InstanceId,
    data_centre: DataCentreId,
    own: InstanceRates,
    samples: HashMap<DataCentreId, Vec<Sample>>,
    estimates: Vec<DataCentreDemand>,
    /// First and latest tick since the last pause.
    ticks: Option<(Instant, Instant)>,
    /// Time of the latest report of another instance of the own data centre.
    peer_reported_at: Option<Instant>,
}

impl DemandExchange {
    /// Creates the exchange of an instance that has received no report.
    pub fn new(instance: InstanceId, data_centre: DataCentreId) -> Self {
        Self {
            instance,
            data_centre,
            own: InstanceRates::default(),
            samples: HashMap::default(),
            estimates: Vec::new(),
            ticks: None,
            peer_reported_at: None,
        }
    }

    /// Returns the estimates of the last call of [`Self::refresh`], ordered by data centre.
    pub fn estimates(&self) -> &[DataCentreDemand] {
        &self.estimates
    }

    /// Records the report of another instance. Data centres without an instance in `view` are
    /// ignored, which bounds the state.
    pub fn on_report(&mut self, from: &Member, report: &DemandReport, view: &View, now: Instant) {
        let services: Vec<_> = report.services.iter().take(MAX_REPORTED_SERVICES).collect();
        let rates = |rates: &mut dyn Iterator<Item = Option<WireRate>>| {
            let listed = services.iter().zip(rates);
            let known = listed.filter_map(|(name, rate)| Some(((*name).clone(), rate?.into())));
            InstanceRates { services: known.collect(), is_complete: report.is_complete }
        };
        let is_own_data_centre = from.data_centre == self.data_centre;
        if is_own_data_centre && (!report.own.is_empty() || services.is_empty()) {
            let rates = rates(&mut report.own.iter().copied().map(Some));
            self.insert(&self.data_centre.clone(), &from.id, now, rates, now);
            self.peer_reported_at = Some(now);
        }
        for reported in report.data_centres.iter().take(MAX_REPORTED_DATA_CENTRES) {
            let is_known = view.members().iter().any(|it| it.data_centre == reported.data_centre);
            if reported.data_centre == self.data_centre || !is_known {
                continue;
            }
            let Some(observed_at) = now.checked_sub(reported.age) else { continue };
            let rates = rates(&mut reported.rates.iter().copied());
            self.insert(&reported.data_centre, &from.id, observed_at, rates, now);
        }
    }

    /// Replaces the sender's former sample of a data centre, and drops expired ones.
    fn insert(
        &mut self,
        data_centre: &DataCentreId,
        sender: &InstanceId,
        observed_at: Instant,
        rates: InstanceRates,
        now: Instant,
    ) {
        let samples = self.samples.entry(data_centre.clone()).or_default();
        samples.retain(|it| it.sender != *sender && is_fresh(it.observed_at, now));
        samples.push(Sample { sender: sender.clone(), observed_at, rates });
    }

    /// Records that the instance runs, which it does several times per second.
    pub fn tick(&mut self, now: Instant) {
        let unbroken = self.ticks.filter(|(_, latest)| now < *latest + MIN_PAUSE);
        self.ticks = Some((unbroken.map_or(now, |(first, _)| first), now));
    }

    /// Updates this instance's own rates, and the estimate of each data centre in `view`.
    pub fn refresh(&mut self, own: InstanceRates, view: &View, now: Instant) {
        self.tick(now);
        self.own = own;
        let mut members: BTreeMap<&DataCentreId, usize> = BTreeMap::new();
        for member in view.members().iter().filter(|member| member.is_eligible()) {
            *members.entry(&member.data_centre).or_default() += 1;
        }
        let estimates = members.into_iter().map(|(data_centre, instances)| {
            let is_own = *data_centre == self.data_centre;
            let samples = self.latest_samples(data_centre, now);
            DataCentreDemand {
                data_centre: data_centre.clone(),
                instances,
                observed_at: if is_own { Some(now) } else { second_latest(&samples) },
                per_instance: average(&samples, is_own),
            }
        });
        self.estimates = estimates.collect();
    }

    /// Returns the latest samples of a data centre, the latest first. The own rates are a sample of the
    /// own data centre.
    fn latest_samples(&self, data_centre: &DataCentreId, now: Instant) -> Vec<Sample> {
        let samples = self.samples.get(data_centre).map_or(&[][..], Vec::as_slice);
        let is_own = *data_centre == self.data_centre;
        let max_age = if is_own { MAX_INSTANCE_RATES_AGE } else { MAX_RATES_AGE };
        let is_fresh = |it: &&Sample| now.saturating_duration_since(it.observed_at) <= max_age;
        let mut samples: Vec<_> = samples.iter().filter(is_fresh).cloned().collect();
        if is_own {
            let (sender, rates) = (self.instance.clone(), self.own.clone());
            samples.push(Sample { sender, observed_at: now, rates });
        }
        samples.sort_by(|a, b| b.observed_at.cmp(&a.observed_at).then(a.sender.cmp(&b.sender)));
        samples.truncate(MAX_SAMPLES);
        samples
    }

    /// Returns the report to an instance of a data centre.
    pub fn report_for(&self, receiver: &DataCentreId, now: Instant) -> DemandReport {
        let is_own_data_centre = *receiver == self.data_centre;
        let known = self.estimates.iter().filter(|it| {
            it.observed_at.is_some_and(|at| is_fresh(at, now))
                && it.data_centre != *receiver
                && (it.data_centre != self.data_centre || self.is_settled(it, now))
        });
        let known: Vec<_> = known.take(MAX_REPORTED_DATA_CENTRES).collect();
        let sources = known.iter().map(|it| &it.per_instance).chain([&self.own]);
        let (services, is_complete) = reported_services(sources);
        let own_rate = |name: &ServiceId| self.own.get(name).unwrap_or_default().into();
        let own = services.iter().filter(|_| is_own_data_centre).map(own_rate).collect();
        let data_centres = known.iter().map(|it| DataCentreRates {
            data_centre: it.data_centre.clone(),
            age: it.observed_at.map_or(MAX_RATES_AGE, |at| now.saturating_duration_since(at)),
            rates: services.iter().map(|name| Some(it.per_instance.get(name)?.into())).collect(),
        });
        let data_centres = data_centres.collect();
        DemandReport { services, is_complete, own, data_centres }
    }

    /// Returns whether the estimate of the own data centre may be passed on: since the last pause the
    /// own rates have become complete, and another instance there, if any, has reported. Before, both
    /// may be too low.
    fn is_settled(&self, own: &DataCentreDemand, now: Instant) -> bool {
        let Some((first, latest)) = self.ticks else { return false };
        let has_sample = self.peer_reported_at.is_some_and(|at| at >= first);
        now >= first + SETTLING_TIME
            && now < latest + MIN_PAUSE
            && (has_sample || own.instances <= 1)
    }
}

/// Kind of receiver of a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Receiver {
    /// Random instance of the sender's data centre.
    OwnDataCentre,
    /// Random instance of another data centre.
    OtherDataCentre,
}

/// Times at which an instance sends its reports, by turns to both kinds of receivers.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReportSchedule {
    sent_at: Option<Instant>,
    is_other_next: bool,
}

impl ReportSchedule {
    /// Returns the receiver of the report that is due if one is sent per `interval`; `None` if none
    /// is.
    pub fn take_due(&mut self, interval: Duration, now: Instant) -> Option<Receiver> {
        if self.sent_at.is_some_and(|at| now < at + interval) {
            return None;
        }
        self.sent_at = Some(now);
        let receiver =
            if self.is_other_next { Receiver::OtherDataCentre } else { Receiver::OwnDataCentre };
        self.is_other_next = !self.is_other_next;
        Some(receiver)
    }
}

fn is_fresh(observed_at: Instant, now: Instant) -> bool {
    now.saturating_duration_since(observed_at) <= MAX_RATES_AGE
}

/// Returns the services with the most requests, ordered by name, and whether these are all.
fn reported_services<'a>(
    sources: impl Iterator<Item = &'a InstanceRates>,
) -> (Vec<ServiceId>, bool) {
    let mut highest: BTreeMap<&ServiceId, f64> = BTreeMap::new();
    let mut is_complete = true;
    for source in sources {
        is_complete &= source.is_complete;
        for (name, demand) in &source.services {
            let rate = highest.entry(name).or_default();
            *rate = rate.max(demand.requests_per_second);
        }
    }
    let mut ranked: Vec<_> = highest.into_iter().collect();
    ranked.sort_by(|a, b| b.1.total_cmp(&a.1).then(a.0.cmp(b.0)));
    is_complete &= ranked.len() <= MAX_REPORTED_SERVICES;
    let names: BTreeSet<_> =
        ranked.into_iter().take(MAX_REPORTED_SERVICES).map(|(name, _)| name.clone()).collect();
    (names.into_iter().collect(), is_complete)
}

/// Returns the median of values, the upper one of two.
fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or_default()
}

/// Returns the average of samples: the mean of capped samples for rates of single instances, the
/// median for samples that are estimates themselves.
fn average(samples: &[Sample], is_of_instances: bool) -> InstanceRates {
    let names: BTreeSet<_> = samples.iter().flat_map(|it| it.rates.services.keys()).collect();
    let average = if is_of_instances { capped_mean } else { median };
    let services = names.into_iter().map(|name| {
        let known: Vec<_> = samples.iter().filter_map(|it| it.rates.get(name)).collect();
        let component = |of: fn(&Demand) -> f64| average(known.iter().map(of).collect());
        let demand = Demand {
            requests_per_second: component(|it| it.requests_per_second),
            turned_away_per_second: component(|it| it.turned_away_per_second),
        };
        (name.clone(), demand)
    });
    let is_complete = samples.iter().all(|it| it.rates.is_complete);
    InstanceRates { services: services.collect(), is_complete }
}

fn capped_mean(values: Vec<f64>) -> f64 {
    let count = values.len().max(1) as f64;
    if values.len() < MIN_CAPPED_SAMPLES {
        return values.into_iter().sum::<f64>() / count;
    }
    let cap = (median(values.clone()) * CAP_FACTOR).max(MIN_CAP_PER_SECOND);
    values.into_iter().map(|value| value.min(cap)).sum::<f64>() / count
}

/// Returns the time of the second latest sample, or of the only one. The latest one may be wrong.
fn second_latest(samples: &[Sample]) -> Option<Instant> {
    samples.get(1).or_else(|| samples.first()).map(|it| it.observed_at)
}
