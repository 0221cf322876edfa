//! `standins slopes`: cost of one row, change, route, account, decision and ticket, to estimate the needs of a fleet.

use std::{
    hint::black_box,
    time::{Duration, Instant},
};

use jayreach::{
    decide::{
        AdmissionController, AdmissionDecision, AdmissionRequest, Candidate, FailureDetector, Sample, choose_endpoint,
    },
    rows::{
        BucketStamps, CompareRequest, CompareResponse, DeliverRequest, EndpointRow, EndpointState,
        HigherIncarnationPolicy, MemberTable, Row, Stamp, member_key,
    },
    targets::{
        Account, Class, ConfigIndex, EjectionPreference, Route, Service, Targets, differences, hash_token,
        split_targets,
    },
    ticket::{DispatchLedger, GuardIncarnation, TicketHome},
    wire::{EndpointResponse, Outcome, TicketAttempt, encode},
};
use rand::{RngExt as _, SeedableRng as _, rngs::SmallRng};

use crate::proc::usage;

/// Endpoints of each daemon in a fleet of full size (27,000 endpoints, 2,400 daemons).
const ENDPOINTS: usize = 11;
/// Rows that differ between two tables at the ordinary rate of changes.
const DIFFERING: usize = 6;
/// Repetitions of each measurement, of which the median and the extremes are printed.
const REPETITIONS: usize = 7;

/// Measures and prints all costs.
pub fn run(seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    // First, since freed memory of the other measurements would be reused and distort the resident size.
    tickets();
    exchanges();
    digests();
    spread(&mut rng);
    configuration();
    decisions(&mut rng);
}

/// Median, minimum and maximum of several measurements, in the unit of `measure`.
fn median(mut measure: impl FnMut() -> f64) -> (f64, f64, f64) {
    let mut values: Vec<f64> = (0..REPETITIONS).map(|_| measure()).collect();
    values.sort_by(f64::total_cmp);
    (values[REPETITIONS / 2], values[0], values[REPETITIONS - 1])
}

fn nanos_each(count: u32, mut act: impl FnMut()) -> f64 {
    let start = Instant::now();
    (0..count).for_each(|_| act());
    start.elapsed().as_nanos() as f64 / f64::from(count)
}

fn print_nanos(name: &str, (mid, low, high): (f64, f64, f64)) {
    println!("{name:52} {mid:>10.0} ns  ({low:.0} to {high:.0})");
}

fn row(number: usize, sequence: u64) -> Row {
    let endpoint = |at: usize| EndpointRow {
        id: format!("10.{}.{}.{}:8080", number / 250, number % 250, at + 1).into(),
        service: format!("service-{}", (number * ENDPOINTS + at) % 910).into(),
        slots: 7,
        state: EndpointState::Serving,
        failure_level: 0,
    };
    Row {
        name: format!("vm-{number}").into(),
        stamp: Stamp { incarnation: 1_800_000_000 << 20, sequence, down: false },
        data_centre: format!("dc-{}", number % 6).into(),
        peer_address: ([10, 0, (number / 250) as u8, (number % 250) as u8], 7101).into(),
        leaving: false,
        endpoints: (0..ENDPOINTS).map(endpoint).collect(),
    }
}

/// A table of `count` rows, in which the first `newer` have a higher sequence.
fn table(count: usize, newer: usize, own: usize) -> MemberTable {
    let now = Instant::now();
    let mut table = MemberTable::new(row(own, 1), HigherIncarnationPolicy::Accept, now);
    for number in (0..count).filter(|it| *it != own) {
        table.merge(row(number, if number < newer { 2 } else { 1 }), now);
    }
    table
}

fn exchanges() {
    println!("# rows: one anti-entropy exchange, {DIFFERING} rows differ, {ENDPOINTS} endpoints a row");
    println!("one row coded: {} bytes", encode(&row(1, 1)).len());
    println!("{:>8} {:>14} {:>14} {:>16}", "daemons", "bytes, equal", "bytes, differ", "us, both sides");
    for count in [30, 300, 2400] {
        let asker = table(count, 0, count - 1);
        let mut answerer = table(count, DIFFERING, count - 2);
        let equal = bytes(&CompareRequest::new(&asker, 1), &CompareRequest::new(&asker, 1).answer(&asker, 1), None);
        let mut size = 0;
        let time = median(|| {
            let start = Instant::now();
            let compare = CompareRequest::new(&asker, 1);
            let compared = compare.answer(&answerer, 1);
            let deliver = compared.follow_up(&asker).expect("the tables differ");
            let (delivered, _) = deliver.clone().answer(&mut answerer, Instant::now());
            size = bytes(&compare, &compared, Some(&deliver)) + encode(&delivered).len();
            start.elapsed().as_secs_f64() * 1e6
        });
        println!("{count:>8} {equal:>14} {size:>14} {:>8.0} ({:.0} to {:.0})", time.0, time.1, time.2);
    }
    let mut table = table(2400, 0, 0);
    let mut sequence = 10;
    print_nanos(
        "merging one newer row into 2,400",
        median(|| {
            nanos_each(1000, || {
                sequence += 1;
                table.merge(row(7, sequence), Instant::now());
            })
        }),
    );
}

fn bytes(compare: &CompareRequest, compared: &CompareResponse, deliver: Option<&DeliverRequest>) -> usize {
    encode(compare).len() + encode(compared).len() + deliver.map_or(0, |it| encode(it).len())
}

/// Prints the encoded size of digests and stamps in an anti-entropy exchange for several numbers of buckets.
fn digests() {
    println!("# digests at 2,400 daemons, {DIFFERING} rows differ: bytes of digest and stamps an exchange");
    let stamps: Vec<_> = (0..2400).map(|it| (member_key(&format!("vm-{it}")), row(it, 1).stamp)).collect();
    println!("{:>8} {:>10}", "buckets", "bytes");
    for buckets in [1_usize, 16, 64, 256, 1024, 4096] {
        let bucket = |key: u64| ((u128::from(key) * buckets as u128) >> 64) as usize;
        let digest = CompareRequest { digest: vec![0; if buckets == 1 { 0 } else { buckets * 4 }], version: 1 };
        let mut differing: Vec<_> = (0..DIFFERING).map(|it| bucket(stamps[it].0)).collect();
        differing.sort_unstable();
        differing.dedup();
        let stamps_of = |at: &usize| BucketStamps {
            bucket: *at as u16,
            stamps: stamps.iter().filter(|it| bucket(it.0) == *at).copied().collect(),
        };
        let compared = CompareResponse { differing: differing.iter().map(stamps_of).collect(), version: 1 };
        println!("{buckets:>8} {:>10}", bytes(&digest, &compared, None));
    }
}

/// Simulates how a change reaches all daemons by lossy pushes and by one anti-entropy exchange a second.
fn spread(rng: &mut SmallRng) {
    const HOP_MS: u32 = 25;
    println!("# spread of one change to 2,400 daemons: {HOP_MS} ms a push hop, one exchange a second each");
    println!(
        "{:>7} {:>6} {:>12} {:>12} {:>10} {:>12}",
        "fan-out", "lost", "99% after ms", "all after ms", "worst ms", "pushes each"
    );
    for fanout in [1, 2, 3, 4, 6] {
        for lost in [0.0, 0.1, 0.3] {
            let mut runs: Vec<_> = (0..20).map(|_| spread_once(2400, fanout, lost, HOP_MS, rng)).collect();
            runs.sort_by_key(|it| it.1);
            let mid = runs[runs.len() / 2];
            let worst = runs[runs.len() - 1].1;
            println!("{fanout:>7} {:>5.0}% {:>12} {:>12} {worst:>10} {:>12.2}", lost * 100.0, mid.0, mid.1, mid.2);
        }
    }
}

/// Simulates one spread. Returns the milliseconds until 99% and until all daemons have the change, and the number of
/// pushes per daemon.
fn spread_once(count: usize, fanout: u32, lost: f64, hop: u32, rng: &mut SmallRng) -> (u32, u32, f64) {
    let mut informed = vec![false; count];
    let phases: Vec<u32> = (0..count).map(|_| rng.random_range(0..1000 / hop)).collect();
    informed[0] = true;
    let (mut newly_informed, mut informed_count, mut pushes, mut reached_99_percent) = (vec![0], 1, 0_u64, 0);
    for step in 1.. {
        let mut next = Vec::new();
        for _ in 0..newly_informed.len() as u32 * fanout {
            pushes += 1;
            let to = rng.random_range(0..count);
            if !rng.random_bool(lost) && !std::mem::replace(&mut informed[to], true) {
                next.push(to);
            }
        }
        for at in 0..count {
            let peer = rng.random_range(0..count);
            let due = phases[at] == step % (1000 / hop) && !rng.random_bool(lost);
            if due && informed[at] != informed[peer] {
                let receiver = if informed[at] { peer } else { at };
                informed[receiver] = true;
                next.push(receiver);
            }
        }
        informed_count += next.len();
        newly_informed = next;
        if reached_99_percent == 0 && informed_count * 100 >= count * 99 {
            reached_99_percent = step * hop;
        }
        if informed_count == count {
            return (reached_99_percent, step * hop, pushes as f64 / count as f64);
        }
    }
    unreachable!("anti-entropy reaches everyone")
}

/// Targets with these numbers of routes, services and accounts; `routes` are spread over 910 tenants.
pub fn large_targets(routes: usize, services: usize, accounts: usize) -> Targets {
    let class = |(name, importance, idempotent): (&str, u8, bool)| Class {
        name: name.into(),
        lateness: Duration::from_secs(2),
        importance,
        idempotent,
    };
    let mut targets = Targets {
        classes: [("charge", 90, false), ("lookup", 30, true), ("voucher", 60, false)].map(class).to_vec(),
        services: (0..services)
            .map(|it| Service {
                name: format!("service-{it:04}").into(),
                floor_percent: 60,
                weighs: EjectionPreference::DetectionTime,
            })
            .collect(),
        routes: (0..routes)
            .map(|it| Route {
                prefix: format!("/tenant-{:04}/resource-{it:05}", it % 910).into(),
                service: format!("service-{:04}", it % services).into(),
                class: ["charge", "lookup", "voucher"][it % 3].into(),
                public: false,
            })
            .collect(),
        accounts: (0..accounts)
            .map(|it| Account {
                name: format!("account-{it:06}").into(),
                token_hash: hash_token(&format!("token-{it}")),
            })
            .collect(),
    };
    targets.routes.sort_by(|a, b| a.prefix.cmp(&b.prefix));
    targets.accounts.sort_by_key(|it| it.token_hash);
    targets
}

fn configuration() {
    println!("# configuration: 22,000 routes, 910 services, 190,000 accounts");
    let targets = large_targets(22_000, 910, 190_000);
    let parts = split_targets(&targets);
    let total: usize = parts.iter().map(|it| it.bytes.len()).sum();
    let largest = parts.iter().map(|it| it.bytes.len()).max().unwrap_or(0);
    println!("{} parts, {total} bytes, the largest {largest}", parts.len());
    let mut changed = targets.clone();
    changed.accounts[77].token_hash[31] ^= 1;
    let digests: Vec<_> = parts.iter().map(|it| it.digest).collect();
    let moved: usize =
        split_targets(&changed).iter().filter(|it| !digests.contains(&it.digest)).map(|it| it.bytes.len()).sum();
    let root = parts.len() * 34 + 100;
    println!("one account changed: {moved} bytes of parts and about {root} of root to each daemon");
    let split_ms = median(|| timed(|| split_targets(&targets)));
    let diff_ms = median(|| timed(|| differences(&targets, &changed)));
    println!("cutting into parts {:.0} ms, comparing {:.0} ms (operator's command)", split_ms.0, diff_ms.0);
    let bytes: Vec<_> = parts.into_iter().map(|it| it.bytes).collect();
    let build_ms = median(|| timed(|| ConfigIndex::build("slopes", &bytes).expect("our own parts")));
    println!("building a daemon's directory {:.0} ms ({:.0} to {:.0})", build_ms.0, build_ms.1, build_ms.2);
    let directory = ConfigIndex::build("slopes", &bytes).expect("our own parts");
    print_nanos(
        "route look-up, four segments",
        median(|| nanos_each(100_000, || _ = black_box(directory.route("/tenant-0007/resource-00007/a/b")))),
    );
    print_nanos(
        "account look-up",
        median(|| nanos_each(100_000, || _ = black_box(directory.has_account("token-4711")))),
    );
}

fn timed<T>(act: impl FnOnce() -> T) -> f64 {
    let start = Instant::now();
    black_box(act());
    start.elapsed().as_secs_f64() * 1e3
}

fn decisions(rng: &mut SmallRng) {
    println!("# decisions");
    for count in [10, 30, 100, 300] {
        let candidates: Vec<_> = (0..count)
            .map(|it| Candidate { same_data_centre: it % 6 == 0, suspect: false, avoid: false, load: it % 5, slots: 7 })
            .collect();
        let time = median(|| nanos_each(20_000, || _ = black_box(choose_endpoint(&candidates, rng))));
        print_nanos(&format!("choice among {count}"), time);
    }
    for queued in [0_u16, 10, 28] {
        let time = median(|| {
            let now = Instant::now();
            let mut gate = AdmissionController::new(7);
            let arrival = |id: u64| AdmissionRequest { id, importance: 50, deadline: now + Duration::from_secs(9) };
            (0..7 + u64::from(queued)).for_each(|id| _ = gate.admit(arrival(id), now));
            let mut id = 1000;
            nanos_each(20_000, || {
                id += 1;
                let released = gate.release_slot(Duration::from_millis(1), now);
                let (admission, _) = gate.admit(arrival(id), now);
                black_box((released, admission == AdmissionDecision::Admit));
            })
        });
        print_nanos(&format!("admission and release, {queued} queued"), time);
    }
    let mut detector = FailureDetector::default();
    print_nanos(
        "evidence",
        median(|| nanos_each(100_000, || _ = black_box(detector.record(Sample::Good, 0.01, 11.0)))),
    );
}

fn tickets() {
    const COUNT: u64 = 50_000;
    println!("# tickets: {COUNT} records with answers of 200 bytes");
    let resident = || usage(std::process::id()).map_or(0, |it| it.resident) as f64;
    let answer = || {
        let header = |name: &str| jayreach::wire::Header { name: name.into(), value: "some value".into() };
        Outcome::Done(EndpointResponse {
            status: 200,
            headers: ["a", "b", "c"].map(header).to_vec(),
            body: vec![7; 200],
        })
    };
    let before = resident();
    let mut home = TicketHome::new("vm-1".into(), 1);
    let start = Instant::now();
    let mut attempts = Vec::new();
    for _ in 0..COUNT {
        let ticket = home.issue(start);
        home.begin_run(&ticket, ticket.sequence);
        let guard = GuardIncarnation { daemon: "vm-2".into(), incarnation: 1 };
        let attempt = home.record_dispatch(ticket.sequence, guard).expect("a record");
        home.record_outcome(ticket.sequence, answer());
        attempts.push(TicketAttempt { ticket, attempt, low_water: 1 });
    }
    let each = start.elapsed().as_nanos() as f64 / COUNT as f64;
    println!("home: {:.0} bytes and {each:.0} ns a record", (resident() - before) / COUNT as f64);
    let before = resident();
    let start = Instant::now();
    let mut ledger = DispatchLedger::default();
    for ticket_attempt in &attempts {
        ledger.start_dispatch(ticket_attempt);
        ledger.record_outcome(&ticket_attempt.ticket, answer());
    }
    let each = start.elapsed().as_nanos() as f64 / COUNT as f64;
    println!("ledger: {:.0} bytes and {each:.0} ns a line", (resident() - before) / COUNT as f64);
    black_box((home, ledger));
}
