//! Quarantined requests: only one proxy claims a trial, and a request that crashes nothing is released.

use std::{
    thread,
    time::{Duration, Instant},
};

use jayreach::{
    decide::{fingerprint::Fingerprint, quarantine::Quarantine},
    platform::{QuarantineObject, Store, TrialClaim},
};
use serde_json::json;
use standins::platform::{
    fixtures::{self, caller_request, send_to_ledger_proxy},
    site::{HOST, eventually},
    store,
};
use tokio::task::LocalSet;

const KIND: &str = "jayreach-quarantine";

/// The store's object of a quarantined read.
fn quarantined_read(target: &str) -> QuarantineObject {
    let fingerprint = Fingerprint::of_request("GET", HOST, target, b"", b"");
    let mut quarantine = Quarantine::default();
    for _ in 0..2 {
        quarantine.record_crash(&[(fingerprint, quarantine.crash_record(fingerprint))], Instant::now());
    }
    QuarantineObject { fingerprint, crash_record: quarantine.crash_record(fingerprint), written_by: "vm-1".into() }
}

fn block_on<T>(future: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("the runtime is built");
    LocalSet::new().block_on(&runtime, future)
}

#[test]
fn only_the_first_claim_of_a_trial_succeeds() {
    let store = store::Store::start().expect("the store starts");
    let client = Store::new(store.address);
    let object = quarantined_read("/read/page");

    block_on(async {
        client.add_quarantined(&object).await.expect("the object is written");
        let first = client.claim_trial(&object).await.expect("a response");
        let second = client.claim_trial(&QuarantineObject { written_by: "vm-2".into(), ..object.clone() }).await;

        let TrialClaim::Claimed(record) = first else { panic!("{first:?}") };
        assert_eq!(record.trials(), 1);
        assert_eq!(second.expect("a response"), TrialClaim::ClaimedByOther(record));
    });
}

#[test]
fn one_of_two_concurrent_trial_claims_succeeds() {
    let store = store::Store::start().expect("the store starts");
    let client = Store::new(store.address);
    let object = quarantined_read("/read/page");

    block_on(async {
        client.add_quarantined(&object).await.expect("the object is written");
        let (first, second) = tokio::join!(client.claim_trial(&object), client.claim_trial(&object));
        let claimed = [first, second].into_iter().filter(|it| matches!(it, Ok(TrialClaim::Claimed(_)))).count();
        assert_eq!(claimed, 1);
    });
}

#[test]
fn a_harmless_quarantined_request_is_released_everywhere() {
    let mut site = fixtures::start_site();
    let object = quarantined_read("/read/page");
    let name = object.fingerprint.to_string();
    site.store.put_object(KIND, &name, json!(object));
    site.proxies.iter_mut().for_each(|it| it.restart().expect("the proxy starts"));
    assert!(site.wait_until_ready(3));
    assert!(
        eventually(|| send_to_ledger_proxy(&site, "GET /read/page", "early").status() == 503),
        "the request is not quarantined"
    );
    let start = Instant::now();

    let mut statuses = Vec::new();
    while start.elapsed() < Duration::from_secs(40) && !statuses.contains(&200) {
        statuses.push(send_to_ledger_proxy(&site, "GET /read/page", &format!("r-{}", statuses.len())).status());
        thread::sleep(Duration::from_millis(500));
    }

    assert_eq!(statuses.last(), Some(&200), "after {:?}: {statuses:?}", start.elapsed());
    assert!(eventually(|| site.store.object_names(KIND).is_empty()), "the object is still in the store");
    let released = site.proxies.iter().enumerate().all(|(i, it)| {
        eventually(|| {
            let response = caller_request("GET /read/page", &format!("after-{i}")).send_and_read(it.callers);
            response.is_ok_and(|it| it.status() == 200)
        })
    });
    assert!(released);
}
