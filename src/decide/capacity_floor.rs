//! The floor: ejections never take a service below its share of healthy capacity.
//!
//! Every view applies this to the rows it knows, so no daemon needs another's consent.

use crate::rows::EndpointState;

/// An endpoint as the floor sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EndpointCapacity {
    /// How much work it takes at once.
    pub slots: u16,
    /// What its guard says of it.
    pub state: EndpointState,
    /// Its recent failure rate; higher is worse.
    pub failure_level: u8,
}

/// Which endpoints may be given work: all that serve, and of the ejected ones the least bad, until
/// `floor_percent` of the announced slots are reached.
pub fn eligible_endpoints(endpoints: &[EndpointCapacity], floor_percent: u8) -> Vec<bool> {
    let announced: u32 = endpoints.iter().filter(|it| present(it.state)).map(|it| u32::from(it.slots)).sum();
    let floor = (announced * u32::from(floor_percent)).div_ceil(100);
    let mut allowed: Vec<bool> = endpoints.iter().map(|it| takes_work(it.state)).collect();
    let mut slots: u32 = endpoints.iter().zip(&allowed).filter(|(_, ok)| **ok).map(|(it, _)| u32::from(it.slots)).sum();
    let mut held_back: Vec<usize> = (0..endpoints.len()).filter(|it| held_back(endpoints[*it].state)).collect();
    held_back.sort_by_key(|it| (endpoints[*it].state == EndpointState::Ejected, endpoints[*it].failure_level));
    for at in held_back {
        if slots >= floor {
            break;
        }
        allowed[at] = true;
        slots += u32::from(endpoints[at].slots);
    }
    allowed
}

fn takes_work(state: EndpointState) -> bool {
    matches!(state, EndpointState::Serving | EndpointState::Suspect)
}

fn held_back(state: EndpointState) -> bool {
    matches!(state, EndpointState::Ejected | EndpointState::Trial)
}

fn present(state: EndpointState) -> bool {
    takes_work(state) || held_back(state)
}
