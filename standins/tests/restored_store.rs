//! The store is restored from a backup some seconds old: what the system wrote there since is gone, and revisions are given out
//! again. A watch that went on from a revision of before would miss every change up to it.

use std::{thread, time::Duration};

use serde_json::json;
use standins::platform::{
    fixtures::{self, two_routes},
    site::{Site, eventually},
};

/// A proxy that lost its watch is back at the store by then.
const IN_FORCE: Duration = Duration::from_secs(2);
/// After a change the watches are taken up again within this time.
const WATCHED_AGAIN: Duration = Duration::from_millis(700);
/// More changes than the proxies had seen since the backup.
const OTHERS: u32 = 40;

fn names(site: &Site, kind: &str) -> usize {
    site.store.object_names(kind).len()
}

#[test]
fn a_change_among_revisions_that_are_given_out_again_is_in_force_in_time() {
    let site = fixtures::start_site();
    assert!(eventually(|| site.proxies.iter().all(|it| it.status()["watching"] == true)));
    site.store.back_up();
    (0..5).for_each(|it| site.store.put_object("another-s", "y", json!(it)));
    site.store.put_config(two_routes(2));
    let has = |version: u32| site.proxies.iter().all(|it| it.status()["row"]["version"] == version);
    assert!(eventually(|| has(2)));
    thread::sleep(WATCHED_AGAIN);

    site.store.restore(Some(two_routes(3)), OTHERS);
    thread::sleep(IN_FORCE);

    assert!(has(3), "{:?}", site.proxies.iter().map(|it| it.status()["row"]["version"].take()).collect::<Vec<_>>());
}

#[test]
fn what_proxies_had_written_is_written_again() {
    let mut site = Site::start().expect("a store");
    site.store.put_config(two_routes(1));
    site.store.back_up();
    for data_centre in ["dc-1", "dc-2", "dc-1"] {
        site.add_vm("desk", data_centre, 2, fixtures::WORK_TIME).expect("a proxy");
    }
    assert!(site.wait_until_ready(3));
    assert!(eventually(|| names(&site, "jayreach-proxies") == 3));
    site.proxies.iter().for_each(|it| {
        it.endpoint.crash_on("/read/crash", Duration::from_millis(20), Duration::from_millis(300));
    });
    _ = fixtures::send_to_ledger_proxy(&site, "GET /read/crash", "crash");
    assert!(eventually(|| names(&site, "jayreach-quarantine") == 1));

    site.store.restore(None, OTHERS);

    assert!(eventually(|| names(&site, "jayreach-proxies") == 3), "so that others find them at their start");
    assert!(eventually(|| names(&site, "jayreach-quarantine") == 1), "so that it outlasts the end of all proxies");
}
