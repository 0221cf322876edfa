//! Processes that start fleets at the same time must not choose the same address, or a store, daemon or endpoint exits
//! with "Address already in use".

use standins::fleet::loopback_address;

/// Process ids are below this on 64-bit Linux.
const PID_LIMIT: u32 = 1 << 22;

#[test]
fn every_process_has_its_own_loopback_address() {
    let mut addresses: Vec<_> = (1..PID_LIMIT).map(loopback_address).collect();

    addresses.sort_unstable();
    addresses.dedup();

    assert_eq!(addresses.len(), PID_LIMIT as usize - 1);
    assert!(addresses.iter().all(|it| it.is_loopback()));
}
