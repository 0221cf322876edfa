//! The guards that an ingress keeps connections to.
//!
//! Load pattern: hundreds of VMs that each send a few requests a second to each service. A connection to every other
//! VM costs memory, and each change of an endpoint a message to every other VM. A few guards a service, near ones first, are
//! choice enough while three in ten endpoints are gray and one declines or drains. Which ones is a rendezvous hash: each
//! guard gets about as many ingresses as the others, and one VM's leaving moves one connection of those that had chosen it.
//! A guard that was chosen keeps a connection back, to tell how its endpoint stands; both may send work on theirs.

use crate::util::mix;

/// How many guards of a service are chosen in the ingress's own data centre: bytes between data centres are dear.
const NEAR: usize = 5;
/// How many guards of a service are chosen in all, further ones in other data centres: all that a data centre has of a
/// service may be gray or full at once.
const ALL: usize = 8;

/// A proxy that may be chosen for the endpoint it guards.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerCandidate<'a> {
    /// The hash of its name.
    pub key: u64,
    /// The service of its VM.
    pub service: &'a str,
    /// Whether it is in the chooser's data centre.
    pub same_data_centre: bool,
    /// Whether it can be reached, as far as known. One that can't stays chosen, and is tried, beside the next.
    pub reachable: bool,
}

/// The places in `members` of those that `me` keeps connections to, sorted.
pub fn choose_peers(me: u64, members: &[PeerCandidate<'_>]) -> Vec<usize> {
    let mut ranked: Vec<(&str, bool, u64, usize)> =
        members.iter().enumerate().map(|(at, it)| (it.service, !it.same_data_centre, mix(&[me, it.key]), at)).collect();
    ranked.sort_unstable();
    let mut chosen = Vec::new();
    for of_service in ranked.chunk_by(|a, b| a.0 == b.0) {
        let far_from = of_service.partition_point(|it| !it.1);
        let (near, far) = of_service.split_at(far_from);
        let found = take(members, near, NEAR, &mut chosen);
        let found = found + take(members, far, ALL - found, &mut chosen);
        // Where the other data centres have too few, one's own may have more.
        let more = near.iter().filter(|it| !chosen.contains(&it.3)).copied().collect::<Vec<_>>();
        take(members, &more, ALL - found, &mut chosen);
    }
    chosen.sort_unstable();
    chosen
}

/// Chooses from the first of `ranked` on until `wanted` of them can be reached; returns how many that are.
fn take(
    members: &[PeerCandidate<'_>],
    ranked: &[(&str, bool, u64, usize)],
    wanted: usize,
    chosen: &mut Vec<usize>,
) -> usize {
    let mut found = 0;
    for (.., at) in ranked {
        if found == wanted {
            break;
        }
        chosen.push(*at);
        found += usize::from(members[*at].reachable);
    }
    found
}
