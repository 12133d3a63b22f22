//! Tree along which a configuration change is forwarded from one instance to all others.

use std::net::SocketAddr;

use crate::ids::InstanceId;
use crate::owner::rank_key;
use crate::view::{Member, View};

/// Largest number of instances to which one instance forwards a change.
pub const TREE_FAN_OUT: usize = 4;

/// An instance to which a change is forwarded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Child {
    /// Name of the instance.
    pub id: InstanceId,
    /// Address for messages between instances.
    pub peer: SocketAddr,
}

/// Returns the instances, at most `fan_out`, to which `parent` forwards push `number` of `root`.
/// The tree spans the members of one data centre, or all members if `data_centre` is `None`.
///
/// Instances with the same view compute the same tree. Each number gives a different tree, which
/// spreads the load of forwarding over all instances.
pub fn children(
    view: &View,
    data_centre: Option<&str>,
    (root, number): (&str, u64),
    fan_out: usize,
    parent: &str,
) -> Vec<Child> {
    let is_within = |member: &&Member| data_centre.is_none_or(|it| member.data_centre == it);
    let members = view.members().iter().filter(is_within);
    let mut order: Vec<&Member> = members.filter(|member| member.id != root).collect();
    order.sort_by_key(|member| rank_key(root, &member.id, number));
    let position = if parent == root {
        Some(0)
    } else {
        order.iter().position(|member| member.id == parent).map(|index| index + 1)
    };
    let Some(position) = position else { return Vec::new() };
    let first = position * fan_out;
    let children = order.iter().skip(first).take(fan_out);
    children.map(|member| Child { id: member.id.clone(), peer: member.peer }).collect()
}
