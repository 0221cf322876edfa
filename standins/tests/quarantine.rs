//! Requests that are held back: trials in one proxy's name only, and the way out for one that ends nothing.

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

/// A read that is held back, whether it should be or not.
fn held(target: &str) -> QuarantineObject {
    let fingerprint = Fingerprint::of_request("GET", HOST, target, b"", b"");
    let mut quarantine = Quarantine::default();
    for _ in 0..2 {
        quarantine.record_crash(&[(fingerprint, quarantine.crash_record(fingerprint))], Instant::now());
    }
    QuarantineObject { fingerprint, crash_record: quarantine.crash_record(fingerprint), written_by: "vm-1".into() }
}

fn run<T>(work: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, work)
}

#[test]
fn of_proxies_that_want_to_begin_a_trial_one_does() {
    let store = store::Store::start().expect("a store");
    let client = Store::new(store.address);
    let known = held("/read/page");

    run(async {
        client.add_quarantined(&known).await.expect("it is written");
        let first = client.claim_trial(&known).await.expect("an answer");
        let second = client.claim_trial(&QuarantineObject { written_by: "vm-2".into(), ..known.clone() }).await;

        let TrialClaim::Claimed(case) = first else { panic!("{first:?}") };
        assert_eq!(case.trials(), 1);
        assert_eq!(second.expect("an answer"), TrialClaim::ClaimedByOther(case));
    });
}

#[test]
fn an_object_that_was_changed_meanwhile_is_not_written_over() {
    let store = store::Store::start().expect("a store");
    let client = Store::new(store.address);
    let known = held("/read/page");

    run(async {
        client.add_quarantined(&known).await.expect("it is written");
        let (one, other) = tokio::join!(client.claim_trial(&known), client.claim_trial(&known));
        let begun = [one, other].into_iter().filter(|it| matches!(it, Ok(TrialClaim::Claimed(_)))).count();
        assert_eq!(begun, 1);
    });
}

/// Whatever brought it there, the way out is its first trial.
#[test]
fn a_request_that_is_held_back_and_ends_nothing_is_free_after_its_first_trial() {
    let mut site = fixtures::start_site();
    let object = held("/read/page");
    let name = object.fingerprint.to_string();
    site.store.put_object(KIND, &name, json!(object));
    site.proxies.iter_mut().for_each(|it| it.restart().expect("a proxy starts"));
    assert!(site.wait_until_ready(3));
    assert!(eventually(|| send_to_ledger_proxy(&site, "GET /read/page", "early").status() == 503), "it is held back");
    let start = Instant::now();

    let mut told = Vec::new();
    while start.elapsed() < Duration::from_secs(40) && !told.contains(&200) {
        told.push(send_to_ledger_proxy(&site, "GET /read/page", &format!("r-{}", told.len())).status());
        thread::sleep(Duration::from_millis(500));
    }

    assert_eq!(told.last(), Some(&200), "after {:?}: {told:?}", start.elapsed());
    assert!(eventually(|| site.store.object_names(KIND).is_empty()), "the store is told, too");
    let everywhere = site.proxies.iter().enumerate().all(|(at, it)| {
        eventually(|| {
            let answer = caller_request("GET /read/page", &format!("after-{at}")).send_and_read(it.callers);
            answer.is_ok_and(|it| it.status() == 200)
        })
    });
    assert!(everywhere);
}
