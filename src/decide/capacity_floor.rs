//! The capacity floor of a service: ejections never leave it fewer slots than a share of those announced.
//! Each daemon applies the floor to its own view, so ejections need no coordination.

use crate::rows::EndpointState;

/// What the capacity floor considers of one endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EndpointCapacity {
    /// Requests that it runs at once.
    pub slots: u16,
    /// The state that its guard reports.
    pub state: EndpointState,
    /// Recent failure rate as a [`failure_level`](super::failure_level); higher is worse.
    pub failure_level: u8,
}

/// Returns for each endpoint whether it may get work: every serving endpoint may, and while these have less than
/// `floor_percent` of the announced slots, endpoints in trial may too, then ejected ones, each by ascending failure
/// level.
pub fn eligible_endpoints(endpoints: &[EndpointCapacity], floor_percent: u8) -> Vec<bool> {
    let announced: u32 = endpoints.iter().filter(|it| is_counted(it.state)).map(|it| u32::from(it.slots)).sum();
    let floor = (announced * u32::from(floor_percent)).div_ceil(100);
    let mut allowed: Vec<bool> = endpoints.iter().map(|it| is_serving(it.state)).collect();
    let mut slots: u32 = endpoints.iter().zip(&allowed).filter(|(_, ok)| **ok).map(|(it, _)| u32::from(it.slots)).sum();
    let mut withheld: Vec<usize> = (0..endpoints.len()).filter(|it| is_withheld(endpoints[*it].state)).collect();
    withheld.sort_by_key(|it| (endpoints[*it].state == EndpointState::Ejected, endpoints[*it].failure_level));
    for at in withheld {
        if slots >= floor {
            break;
        }
        allowed[at] = true;
        slots += u32::from(endpoints[at].slots);
    }
    allowed
}

fn is_serving(state: EndpointState) -> bool {
    matches!(state, EndpointState::Serving | EndpointState::Suspect)
}

fn is_withheld(state: EndpointState) -> bool {
    matches!(state, EndpointState::Ejected | EndpointState::Trial)
}

fn is_counted(state: EndpointState) -> bool {
    is_serving(state) || is_withheld(state)
}
