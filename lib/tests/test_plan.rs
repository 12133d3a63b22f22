//! A plan that reuses parts of the previous one has the same owners as a plan computed anew, and
//! the targets of a service follow changes of the configuration.

#![allow(clippy::unwrap_used)]

use std::net::SocketAddr;
use std::sync::Arc;

use hollyhead::config::Config;
use hollyhead::default_table::BoundedRendezvous;
use hollyhead::ids::TargetId;
use hollyhead::owner::{Homes, OwnerSet};
use hollyhead::plan::{Plan, Planner};
use hollyhead::platform::Object;
use hollyhead::target::TargetRegistry;
use hollyhead::view::{Member, MemberState, View};
use proptest::prelude::*;
use testutils::records;
use tokio::time::Instant;

const DATA_CENTRES: usize = 2;
const MEMBERS: usize = 12;
const OWNERS: usize = 3;

fn address(number: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number as u8], 7_000))
}

fn view(present: &[bool]) -> Arc<View> {
    let member = |number: usize| Member {
        id: format!("entry-{number}").into(),
        data_centre: format!("dc-{}", number % DATA_CENTRES).into(),
        peer: address(number),
        request: address(number),
        epoch: 1,
        incarnation: 0,
        state: MemberState::Alive,
    };
    let members = (0..MEMBERS).filter(|number| present[*number]).map(member);
    Arc::new(View::new(members.collect()))
}

fn config() -> Arc<Config> {
    let service = records::object("service", 1, records::service("quaydesk", address(200)));
    let target = |number: usize| {
        let (name, data_centre) = (format!("target-{number}"), format!("dc-{number}"));
        let body =
            records::target(&name, "quaydesk", &data_centre, address(number), address(number));
        records::object("target", 2 + number as u64, body)
    };
    let objects: Vec<_> = (0..DATA_CENTRES).map(target).chain([service]).collect();
    Arc::new(Config::default().apply(&objects).0)
}

fn owners(homes: &Homes) -> Vec<OwnerSet> {
    homes.all().iter().map(|home| home.owners.clone()).collect()
}

proptest! {
    #[test]
    fn plan_after_others_has_the_same_owners(
        views in prop::collection::vec(prop::collection::vec(any::<bool>(), MEMBERS), 1..12)
    ) {
        let picker = Arc::new(BoundedRendezvous);
        let planner = Planner::new("entry-0".into(), "dc-0".into(), OWNERS, picker);
        let (config, registry) = (config(), TargetRegistry::new(Instant::now()));
        let mut plan = Plan::default();
        for present in views {
            let view = view(&present);
            plan = planner.plan(Arc::clone(&view), Arc::clone(&config), &registry, &plan);
            for (home, owners) in ["dc-0", "dc-1"].iter().zip(owners(&plan.services()[0].homes)) {
                prop_assert_eq!(owners, OwnerSet::new(&view, "quaydesk", home, OWNERS));
            }
        }
    }
}

#[test]
fn targets_of_follows_changes() {
    let object = |version: u64, name: &str, service: &str| {
        let body = records::target(name, service, "dc-0", address(1), address(1));
        records::object("target", version, body)
    };
    let objects = [object(1, "b", "quaydesk"), object(2, "a", "quaydesk"), object(3, "c", "other")];
    let (config, _) = Config::default().apply(&objects);
    assert_eq!(names(&config, "quaydesk"), ["a", "b"]);
    let (config, _) = config.apply(&[object(4, "a", "other")]);
    assert_eq!(names(&config, "quaydesk"), ["b"]);
    assert_eq!(names(&config, "other"), ["a", "c"]);
    let deletion = Object { kind: "target".into(), name: "c".into(), version: 5, body: None };
    let (config, _) = config.apply(&[deletion]);
    assert_eq!(names(&config, "other"), ["a"]);
}

fn names(config: &Config, service: &str) -> Vec<TargetId> {
    config.targets_of(service).iter().map(|target| target.name.clone()).collect()
}
