//! Finds out from the event lines of many proxies how a request ended, which state an endpoint had last, or where a
//! version of the configuration was active.

use serde::Deserialize;
use serde_json::{Map, Value};

/// One event line of a proxy.
#[derive(Debug, Clone, Deserialize)]
pub struct EventLine {
    /// Time of the event by the clock of the proxy's VM, in seconds since 1970.
    pub time: f64,
    /// Name of the proxy that wrote the line.
    pub proxy: Box<str>,
    /// Kind of event.
    pub event: Box<str>,
    /// All other fields of the line.
    #[serde(flatten)]
    pub fields: Map<String, Value>,
}

/// What an explanation is about.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Subject {
    /// A request by its id, with the nested calls that it caused.
    Request(Box<str>),
    /// An incarnation of an endpoint, by its id.
    Endpoint(Box<str>),
    /// A version of the configuration.
    Config(u64),
    /// All requests with the same fingerprint.
    Fingerprint(Box<str>),
}

/// The lines about a subject and the cause that they show.
#[derive(Debug, Clone)]
pub struct History {
    /// The lines about the subject, ordered by time.
    pub lines: Vec<EventLine>,
    /// Sentences that state the cause.
    pub cause: String,
}

/// Maximum time between a failure and a change of the endpoint's standing that is reported with it, in seconds.
const STANDING_WINDOW_S: f64 = 5.0;

impl EventLine {
    /// Parses one line. Returns `None` if it is not an event line.
    pub fn parse(text: &str) -> Option<Self> {
        // Log tools may put a prefix before the JSON object.
        serde_json::from_str(&text[text.find('{')?..]).ok()
    }

    fn text(&self, key: &str) -> &str {
        self.fields.get(key).and_then(Value::as_str).unwrap_or("")
    }

    fn number(&self, key: &str) -> u64 {
        self.fields.get(key).and_then(Value::as_u64).unwrap_or(0)
    }

    fn is_about(&self, subject: &Subject) -> bool {
        match subject {
            Subject::Request(id) => {
                let request = self.text("request");
                *request == **id || request.strip_prefix(&**id).is_some_and(|it| it.starts_with('.'))
            }
            Subject::Endpoint(id) => {
                *self.text("endpoint") == **id || (&*self.event == "endpoint" && *self.text("id") == **id)
            }
            Subject::Fingerprint(it) => *self.text("fingerprint") == **it || *self.text("quarantined") == **it,
            Subject::Config(version) => &*self.event == "config" && self.number("version") == *version,
        }
    }
}

/// Selects the lines about `subject` and derives the cause from them.
pub fn explain(lines: &[EventLine], subject: &Subject) -> History {
    let mut about: Vec<EventLine> = lines.iter().filter(|it| it.is_about(subject)).cloned().collect();
    // The crashes that led to the quarantine were under other requests with the same fingerprint.
    let quarantined = about.iter().map(|it| it.text("quarantined")).find(|it| !it.is_empty());
    if let Some(same_fingerprint) = quarantined.map(|it| Subject::Fingerprint(it.into())) {
        let is_evidence =
            |it: &&EventLine| matches!(&*it.event, "ended-under" | "quarantine") && it.is_about(&same_fingerprint);
        about.extend(lines.iter().filter(is_evidence).filter(|it| !it.is_about(subject)).cloned());
    }
    about.sort_by(|a, b| a.time.total_cmp(&b.time));
    let cause = match subject {
        Subject::Request(id) => request_cause(id, &about, lines),
        Subject::Endpoint(id) => endpoint_cause(id, &about),
        Subject::Config(version) => config_cause(*version, &about, lines),
        Subject::Fingerprint(it) => fingerprint_cause(it, &about),
    };
    History { lines: about, cause }
}

fn request_cause(id: &str, about: &[EventLine], all: &[EventLine]) -> String {
    let last_event = |event: &str| about.iter().rev().find(|it| &*it.event == event && it.text("request") == id);
    if let Some(it) = last_event("rejected") {
        return format!("{} refused it with {}: {}.", it.proxy, it.number("status"), it.text("why"));
    }
    if let Some(it) = last_event("cancelled") {
        let (after, attempts) = (it.number("after_ms"), it.number("attempts"));
        return format!("Its caller left after {after} ms; it had been sent to {attempts} endpoint(s).");
    }
    let Some(answer) = last_event("answered") else { return describe_missing_end(about, all) };
    let status = answer.number("status");
    let failed = last_event("failed");
    match answer.text("outcome") {
        "answered" if status < 500 => {
            format!(
                "It was served: {status} after {} ms, {} attempt(s).",
                answer.number("took_ms"),
                answer.number("attempts")
            )
        }
        "answered" => describe_endpoint_failure(id, status, failed, about, all),
        "full" => describe_missing_grant(answer, about),
        "rate-limited" => format!(
            "The rate limits of {}'s endpoints let it start at none of the {} that were asked in time. It has not run.",
            answer.text("service"),
            answer.number("asked")
        ),
        "quarantined" => {
            let fingerprint = answer.text("quarantined");
            format!("It was held back: {} It has not run.", describe_ended_endpoints(fingerprint, about))
        }
        "no-endpoint" => format!("{} had no endpoint of {} in its directory.", answer.proxy, answer.text("service")),
        "unknown" => format!(
            "{} It may have run, so it was not sent again; status 502 leaves open whether it ran.",
            failed.map_or_else(|| "How its attempts ended is unknown.".to_owned(), describe_failed_attempt)
        ),
        "timeout" => format!(
            "No response came within its timeout ({} ms). {}",
            answer.number("took_ms"),
            failed.map_or_else(String::new, describe_failed_attempt)
        ),
        it => format!("It ended with {status} ({it})."),
    }
}

fn describe_missing_end(about: &[EventLine], all: &[EventLine]) -> String {
    let dropped: u64 =
        all.iter().filter(|it| &*it.event == "dropped").map(|it| it.number("ordinary") + it.number("full")).sum();
    let missing = if about.is_empty() { "No line names it" } else { "No line says how it ended" };
    format!(
        "{missing}: these files lack the lines of its ingress, it is still running, its ingress stopped, or its lines were \
         dropped ({dropped} lines were dropped, according to these files)."
    )
}

fn describe_endpoint_failure(
    id: &str,
    status: u64,
    failed: Option<&EventLine>,
    about: &[EventLine],
    all: &[EventLine],
) -> String {
    let failed_call =
        about.iter().find(|it| &*it.event == "answered" && it.text("request") != id && it.number("status") >= 300);
    if let Some(it) = failed_call {
        return format!(
            "Its endpoint answered {status} because a call that it made failed: {} of {} ended with {} ({}).",
            it.text("request"),
            it.text("service"),
            it.number("status"),
            it.text("outcome")
        );
    }
    let Some(failed) = failed else { return format!("Its endpoint answered {status} itself.") };
    let guard = failed.text("guard");
    let turned_suspect = all.iter().rfind(|it| {
        &*it.event == "standing"
            && *it.proxy == *guard
            && it.text("standing") == "suspect"
            && (it.time - failed.time).abs() < STANDING_WINDOW_S
    });
    let suspicion = turned_suspect.map_or_else(String::new, |it| {
        format!(" Its guard made it suspect of failing gray by request {} ({}).", it.text("request"), it.text("why"))
    });
    format!(
        "The endpoint on the VM of {guard} answered {status} itself after {} ms.{suspicion}",
        failed.number("took_ms")
    )
}

fn describe_missing_grant(answer: &EventLine, about: &[EventLine]) -> String {
    let count_refusals =
        |why: &str| about.iter().filter(|it| &*it.event == "no-place" && it.text("why") == why).count();
    format!(
        "No place became free in {} ms at {}: of {} guards asked, {} had an endpoint that recently failed or declined \
         requests, {} had none that accepts requests, {} had exhausted the retry budget, {} had reached the rate limit of \
         their endpoint; the others' queues did not move in time. It has not run.",
        answer.number("waited_ms"),
        answer.text("service"),
        answer.number("asked"),
        count_refusals("Suspect"),
        count_refusals("Elsewhere"),
        count_refusals("NoAllowance"),
        count_refusals("RateLimited"),
    )
}

fn describe_failed_attempt(it: &EventLine) -> String {
    if it.fields.get("why").and_then(|it| it.get("unknown")).and_then(Value::as_str) == Some("Ended") {
        return format!(
            "The endpoint on the VM of {} ended with it after {} ms; explain --fingerprint {} shows others like it.",
            it.text("guard"),
            it.number("took_ms"),
            it.text("fingerprint")
        );
    }
    let why = it.fields.get("why").map_or_else(String::new, Value::to_string);
    format!(
        "Attempt {} at {} ended after {} ms with {why}.",
        it.number("attempt"),
        it.text("guard"),
        it.number("took_ms")
    )
}

fn fingerprint_cause(fingerprint: &str, about: &[EventLine]) -> String {
    let refused = about.iter().filter(|it| !it.text("quarantined").is_empty()).count();
    let last = about.iter().rfind(|it| &*it.event == "quarantine");
    let state = match last {
        Some(it) if it.fields.get("held").and_then(Value::as_bool) == Some(true) => {
            "At the last change it was held back.".to_owned()
        }
        Some(it) => format!("It is no longer held back ({} at {}).", it.text("source"), it.proxy),
        None => "It was never held back.".to_owned(),
    };
    format!("{} {refused} request(s) were held back. {state}", describe_ended_endpoints(fingerprint, about))
}

/// Lists the endpoints that ended while they ran requests with this fingerprint.
fn describe_ended_endpoints(fingerprint: &str, about: &[EventLine]) -> String {
    let ends: Vec<String> = about
        .iter()
        .filter(|it| &*it.event == "ended-under" && it.text("fingerprint") == fingerprint)
        .map(|it| format!("{} ({})", it.text("endpoint"), it.text("request")))
        .collect();
    format!("{} endpoint(s) ended under requests with the fingerprint {fingerprint}: {}.", ends.len(), ends.join(", "))
}

fn endpoint_cause(id: &str, about: &[EventLine]) -> String {
    let last = about.iter().rev().find(|it| &*it.event == "endpoint");
    let last_standing = about.iter().rev().find(|it| &*it.event == "standing");
    let phase = last.map_or("never announced", |it| it.text("phase"));
    let standing = match last_standing {
        Some(it) if it.text("standing") == "clean" => "clean again".to_owned(),
        Some(it) => format!("{} since request {} ({})", it.text("standing"), it.text("request"), it.text("why")),
        None => "never suspect".to_owned(),
    };
    let last_limit = about.iter().rev().find(|it| &*it.event == "limit");
    let limit = match last_limit.map(|it| (it.fields.get("rate").and_then(Value::as_f64), it)) {
        Some((Some(rate), it)) => {
            format!(" It named a limit of {rate} requests a second ({} {}).", it.text("source"), it.text("request"))
        }
        Some((None, _)) => " It no longer names a rate limit.".to_owned(),
        None => String::new(),
    };
    format!("Endpoint {id}: last {phase}; {standing}.{limit}")
}

fn config_cause(version: u64, about: &[EventLine], all: &[EventLine]) -> String {
    let (Some(first), Some(last)) = (about.first(), about.last()) else {
        return format!("No proxy had version {version} in force.");
    };
    let from_peers = about.iter().filter(|it| it.text("source") == "peer").count();
    format!(
        "Version {version} was in force at {} of {} proxies within {:.3} s of the first; {from_peers} had it from a peer.",
        count_proxies(about),
        count_proxies(all),
        last.time - first.time
    )
}

/// Number of proxies that wrote these lines. A proxy that restarted counts once.
fn count_proxies(lines: &[EventLine]) -> usize {
    let mut names: Vec<&str> = lines.iter().map(|it| &*it.proxy).collect();
    names.sort_unstable();
    names.dedup();
    names.len()
}
