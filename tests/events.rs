//! The event log doesn't block, is bounded, and holds what `explain` needs to find a cause.

use std::{
    io::{self, Write},
    sync::{
        Arc, Mutex,
        mpsc::{Receiver, channel},
    },
    time::{Duration, Instant},
};

use jayreach::{
    decide::fingerprint::Fingerprint,
    explain::{EventLine, Subject, explain},
    proxy::{
        events::{AnsweredRequest, AttemptFailure, Event, EventLog},
        message::UnknownReason,
    },
    startup_signals::Disposition,
};
use rstest::rstest;

/// Writer that collects its input; the first write blocks until `unblock` receives a message.
struct BlockableWriter {
    unblock: Option<Receiver<()>>,
    written: Arc<Mutex<Vec<u8>>>,
}

impl Write for BlockableWriter {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        if let Some(unblock) = self.unblock.take() {
            unblock.recv().map_err(io::Error::other)?;
        }
        self.written.lock().expect("no writer panics").extend_from_slice(buf);
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn answered(request: &str, status: u16) -> Event<'_> {
    Event::Answered(AnsweredRequest {
        request,
        route: "read",
        version: 3,
        service: "desk",
        status,
        quarantined: None,
        outcome: "answered",
        call: false,
        asked: 1,
        attempts: 1,
        took_ms: 5,
        waited_ms: 1,
    })
}

fn lines(written: &Arc<Mutex<Vec<u8>>>) -> Vec<EventLine> {
    let bytes = written.lock().expect("no writer panics").clone();
    String::from_utf8(bytes).expect("lines are text").lines().filter_map(EventLine::parse).collect()
}

fn eventually(condition: impl Fn() -> bool) -> bool {
    let deadline = Instant::now() + Duration::from_secs(10);
    while !condition() && Instant::now() < deadline {
        std::thread::sleep(Duration::from_millis(5));
    }
    condition()
}

#[test]
fn blocked_output_does_not_block_emit_and_lost_lines_are_counted() {
    let (unblock, rx) = channel();
    let written = Arc::new(Mutex::new(Vec::new()));
    let out = BlockableWriter { unblock: Some(rx), written: Arc::clone(&written) };
    let events = EventLog::start("vm-1".into(), out).expect("a writer");
    let start = Instant::now();

    for at in 0..20_000 {
        events.emit(&answered(&format!("r-{at}"), 500));
    }
    let took = start.elapsed();
    unblock.send(()).expect("the writer is waiting");
    assert!(eventually(|| lines(&written).len() >= 4_000));
    events.emit(&answered("r-last", 500));

    assert!(took < Duration::from_secs(5), "{took:?} to emit 20,000 lines to a blocked writer");
    assert!(eventually(|| lines(&written).iter().any(|it| it.fields.get("request").is_some_and(|it| it == "r-last"))));
    let kept = lines(&written).iter().filter(|it| &*it.event == "answered").count() as u64;
    let dropped: u64 = lines(&written).iter().filter_map(|it| it.fields.get("full")?.as_u64()).sum();
    assert_eq!(kept + dropped, 20_001, "each line was written or counted");
}

#[test]
fn routine_successes_are_sampled_and_failures_are_not() {
    let written = Arc::new(Mutex::new(Vec::new()));
    let events = EventLog::start("vm-1".into(), BlockableWriter { unblock: None, written: Arc::clone(&written) })
        .expect("a writer");

    for at in 0..1_000 {
        events.emit(&answered(&format!("good-{at}"), 200));
    }
    for at in 0..100 {
        events.emit(&answered(&format!("bad-{at}"), 503));
    }

    let count = |prefix: &str| {
        let request = |it: &EventLine| it.fields.get("request").and_then(|it| it.as_str()).unwrap_or("").to_owned();
        lines(&written).iter().filter(|it| request(it).starts_with(prefix)).count()
    };
    assert!(eventually(|| count("bad-") == 100));
    assert!(count("good-") < 200, "{} of 1000", count("good-"));
}

/// Writes events through an [`EventLog`] and parses the resulting lines.
fn written_lines(events: &[Event<'_>]) -> Vec<EventLine> {
    let written = Arc::new(Mutex::new(Vec::new()));
    let out = EventLog::start("vm-1".into(), BlockableWriter { unblock: None, written: Arc::clone(&written) })
        .expect("a writer");
    for it in events {
        out.emit(it);
    }
    assert!(eventually(|| lines(&written).len() >= events.len()));
    lines(&written)
}

#[rstest]
#[case(Event::Rejected { request: "r", status: 404, why: "no route" }, "404: no route")]
#[case(Event::Cancelled { request: "r", route: "read", after_ms: 70, attempts: 1 }, "caller left after 70 ms")]
#[case(answered("r", 200), "It was served")]
fn explain_states_how_a_request_ended(#[case] event: Event<'_>, #[case] wanted: &str) {
    let history = explain(&written_lines(&[event]), &Subject::Request("r".into()));

    assert_eq!(history.lines.len(), 1);
    assert!(history.cause.contains(wanted), "{}", history.cause);
}

#[test]
fn explain_names_a_failed_nested_call_as_the_cause() {
    let failed = Event::Failed {
        request: "r",
        fingerprint: Fingerprint::default(),
        guard: "vm-2",
        attempt: 1,
        why: AttemptFailure::Status(500),
        took_ms: 40,
    };
    let all = written_lines(&[answered("r.c1", 503), failed, answered("r", 500)]);

    let history = explain(&all, &Subject::Request("r".into()));

    assert_eq!(history.lines.len(), 3);
    assert!(history.cause.contains("because a call that it made failed: r.c1"), "{}", history.cause);
}

fn ended_under(request: &'static str, endpoint: &'static str, evidence: u32) -> Event<'static> {
    let (fingerprint, ran_ms, running) = (Fingerprint::default(), 30, 2);
    Event::EndedUnder { endpoint, request, fingerprint, ran_ms, running, evidence }
}

fn quarantined_request(request: &'static str) -> Event<'static> {
    let Event::Answered(it) = answered(request, 503) else { unreachable!("it is one") };
    Event::Answered(AnsweredRequest { outcome: "quarantined", quarantined: Some(Fingerprint::default()), ..it })
}

#[test]
fn explain_of_a_quarantined_request_lists_the_endpoints_that_ended() {
    let held = Event::Quarantine { fingerprint: Fingerprint::default(), held: true, evidence: 3, source: "ended" };
    let all =
        written_lines(&[ended_under("r1", "i-1", 1), ended_under("r2", "i-2", 3), held, quarantined_request("r3")]);

    let history = explain(&all, &Subject::Request("r3".into()));

    assert_eq!(history.lines.len(), 4, "lines of other requests with the fingerprint are included");
    assert!(history.cause.contains("2 endpoint(s) ended"), "{}", history.cause);
    assert!(history.cause.contains("i-1 (r1), i-2 (r2)"), "{}", history.cause);
    assert!(history.cause.contains("has not run"), "{}", history.cause);
}

#[test]
fn explain_names_the_end_of_the_endpoint_as_the_cause() {
    let failed = Event::Failed {
        request: "r1",
        fingerprint: Fingerprint::default(),
        guard: "vm-2",
        attempt: 1,
        why: AttemptFailure::Unknown(UnknownReason::Ended),
        took_ms: 31,
    };
    let Event::Answered(it) = answered("r1", 502) else { unreachable!("it is one") };
    let unknown = Event::Answered(AnsweredRequest { outcome: "unknown", ..it });
    let all = written_lines(&[ended_under("r1", "i-1", 1), failed, unknown]);

    let history = explain(&all, &Subject::Request("r1".into()));

    assert!(history.cause.contains("ended with it after 31 ms"), "{}", history.cause);
}

#[test]
fn explain_of_a_fingerprint_counts_ends_and_refused_requests() {
    let held = |held, source| Event::Quarantine { fingerprint: Fingerprint::default(), held, evidence: 3, source };
    let fingerprint = Fingerprint::default().to_string();
    let all = written_lines(&[
        ended_under("r1", "i-1", 1),
        held(true, "ended"),
        quarantined_request("r3"),
        held(false, "answered"),
    ]);

    let history = explain(&all, &Subject::Fingerprint(fingerprint.into()));

    assert_eq!(history.lines.len(), 4);
    assert!(history.cause.contains("1 endpoint(s) ended"), "{}", history.cause);
    assert!(history.cause.contains("1 request(s) were held back"), "{}", history.cause);
    assert!(history.cause.contains("no longer"), "{}", history.cause);
}

#[test]
fn explain_says_when_no_line_names_the_request() {
    let history = explain(&written_lines(&[answered("other", 500)]), &Subject::Request("r".into()));

    assert!(history.lines.is_empty());
    assert!(history.cause.contains("No line names it"), "{}", history.cause);
}

#[test]
fn explain_of_a_configuration_counts_proxies_and_sources() {
    let all = written_lines(&[
        Event::Config { version: 12, before: 0, source: "store", routes: 3, confirmed_ms: Some(40) },
        Event::Config { version: 14, before: 12, source: "peer", routes: 3, confirmed_ms: Some(40) },
        Event::Started { version: "0", hup: Disposition::Default, term: Disposition::Default },
        Event::Config { version: 14, before: 0, source: "store", routes: 3, confirmed_ms: Some(40) },
    ]);

    let history = explain(&all, &Subject::Config(14));

    assert!(history.cause.contains("in force at 1 of 1 proxies"), "a restart counts once: {}", history.cause);
    assert!(history.cause.contains("1 had it from a peer"), "{}", history.cause);
}
