//! Tree along which a change of configuration goes from one instance to all others.

use std::net::SocketAddr;

use crate::ids::InstanceId;
use crate::owner::rank_key;
use crate::view::{Member, View};

/// Instances that one instance passes a change on to.
pub const TREE_FAN_OUT: usize = 4;

/// Instances below one instance in a tree.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Child {
    /// Name.
    pub id: InstanceId,
    /// Address for messages between instances.
    pub peer: SocketAddr,
}

/// Returns the instances to which `me` passes on push `number` of `root`, among those of a data
/// centre or of all, at most `fan_out` of them. Instances with the same view agree on the tree;
/// other numbers give other trees.
pub fn children(
    view: &View,
    data_centre: Option<&str>,
    (root, number): (&str, u64),
    fan_out: usize,
    me: &str,
) -> Vec<Child> {
    let is_within = |member: &&Member| data_centre.is_none_or(|it| member.data_centre == it);
    let members = view.members().iter().filter(is_within);
    let mut order: Vec<&Member> = members.filter(|member| member.id != root).collect();
    order.sort_by_key(|member| rank_key(root, &member.id, number));
    let position = if me == root {
        Some(0)
    } else {
        order.iter().position(|member| member.id == me).map(|index| index + 1)
    };
    let Some(position) = position else { return Vec::new() };
    let first = position * fan_out;
    let children = order.iter().skip(first).take(fan_out);
    children.map(|member| Child { id: member.id.clone(), peer: member.peer }).collect()
}
