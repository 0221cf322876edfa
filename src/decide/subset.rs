//! Decides which guards an ingress keeps connections to, so that connections and updates don't grow with the square
//! of the fleet.
//!
//! The choice is a rendezvous hash: each guard gets about as many ingresses as the others, and a proxy that leaves
//! moves only the connections to it.

use crate::util::mix;

/// Guards of a service chosen in the ingress's own data centre: bytes between data centres are expensive.
const SAME_DATA_CENTRE: usize = 5;
/// Guards of a service chosen in total; the rest are in other data centres, as all guards of one may be failing or
/// full.
const TOTAL: usize = 8;

/// A proxy that may be chosen as a peer for its endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerCandidate<'a> {
    /// Hash of its name.
    pub key: u64,
    /// The service of its endpoint.
    pub service: &'a str,
    /// Whether it is in the data centre of the choosing proxy.
    pub same_data_centre: bool,
    /// Whether it is reachable as far as known. An unreachable one stays chosen, and another is chosen in addition.
    pub reachable: bool,
}

/// Returns the sorted indices of the peers that the proxy with the key `me` keeps connections to.
///
/// The choice is a rendezvous hash: guards get about equally many ingresses, and when one leaves, each ingress that
/// chose it replaces one connection.
pub fn choose_peers(me: u64, candidates: &[PeerCandidate<'_>]) -> Vec<usize> {
    let mut ranked: Vec<(&str, bool, u64, usize)> = candidates
        .iter()
        .enumerate()
        .map(|(at, it)| (it.service, !it.same_data_centre, mix(&[me, it.key]), at))
        .collect();
    ranked.sort_unstable();
    let mut chosen = Vec::new();
    for of_service in ranked.chunk_by(|a, b| a.0 == b.0) {
        let first_remote = of_service.partition_point(|it| !it.1);
        let (local, remote) = of_service.split_at(first_remote);
        let found = choose_reachable(candidates, local, SAME_DATA_CENTRE, &mut chosen);
        let found = found + choose_reachable(candidates, remote, TOTAL - found, &mut chosen);
        // If the other data centres have too few guards, more are chosen in the same one.
        let rest = local.iter().filter(|it| !chosen.contains(&it.3)).copied().collect::<Vec<_>>();
        choose_reachable(candidates, &rest, TOTAL - found, &mut chosen);
    }
    chosen.sort_unstable();
    chosen
}

/// Chooses in the order of `ranked` until `wanted` of the chosen are reachable; returns how many are.
fn choose_reachable(
    candidates: &[PeerCandidate<'_>],
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
        found += usize::from(candidates[*at].reachable);
    }
    found
}
