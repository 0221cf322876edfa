//! What became of a request, an endpoint or a version of the configuration, from the event lines of
//! many proxies.

use serde::Deserialize;
use serde_json::{Map, Value};

/// One event line.
#[derive(Debug, Clone, Deserialize)]
pub struct EventLine {
    /// By the clock of the VM that wrote it, in seconds since 1970.
    pub time: f64,
    /// Who wrote it.
    pub proxy: Box<str>,
    /// What it tells.
    pub event: Box<str>,
    /// All else.
    #[serde(flatten)]
    pub fields: Map<String, Value>,
}

/// Which lines belong together.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Subject {
    /// A caller's attempt, with the calls that its work made.
    Request(Box<str>),
    /// An incarnation of an endpoint.
    Endpoint(Box<str>),
    /// A version of the configuration.
    Config(u64),
    /// Requests that ask for the same.
    Fingerprint(Box<str>),
}

/// The lines about a subject and what follows from them.
#[derive(Debug, Clone)]
pub struct History {
    /// In the order of their times.
    pub lines: Vec<EventLine>,
    /// The cause, in a sentence.
    pub cause: String,
}

/// How long before a failure a turn of the endpoint's standing bears on it, in seconds.
const RECENT: f64 = 5.0;

impl EventLine {
    /// Parses one line; `None` if it is none of ours.
    pub fn parse(text: &str) -> Option<Self> {
        // Other tools may put their own words before the line.
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

/// Finds what `lines` say of `subject`.
pub fn explain(lines: &[EventLine], subject: &Subject) -> History {
    let mut about: Vec<EventLine> = lines.iter().filter(|it| it.is_about(subject)).cloned().collect();
    // What others like it did is part of the story of a request that was held back.
    let held_back = about.iter().map(|it| it.text("quarantined")).find(|it| !it.is_empty());
    if let Some(like_it) = held_back.map(|it| Subject::Fingerprint(it.into())) {
        let tells = |it: &&EventLine| matches!(&*it.event, "ended-under" | "quarantine") && it.is_about(&like_it);
        about.extend(lines.iter().filter(tells).filter(|it| !it.is_about(subject)).cloned());
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
    let own = |event: &str| about.iter().rev().find(|it| &*it.event == event && it.text("request") == id);
    if let Some(it) = own("rejected") {
        return format!("{} refused it with {}: {}.", it.proxy, it.number("status"), it.text("why"));
    }
    if let Some(it) = own("cancelled") {
        let (after, attempts) = (it.number("after_ms"), it.number("attempts"));
        return format!("Its caller left after {after} ms; it had been sent to {attempts} endpoint(s).");
    }
    let Some(answer) = own("answered") else { return untold(about, all) };
    let status = answer.number("status");
    let failed = own("failed");
    match answer.text("outcome") {
        "answered" if status < 500 => {
            format!(
                "It was served: {status} after {} ms, {} attempt(s).",
                answer.number("took_ms"),
                answer.number("attempts")
            )
        }
        "answered" => endpoint_failed(id, status, failed, about, all),
        "full" => no_place(answer, about),
        "quarantined" => {
            let fingerprint = answer.text("quarantined");
            format!("It was held back: {} It has not run.", ends_under(fingerprint, about))
        }
        "no-endpoint" => format!("{} knew no endpoint of {}.", answer.proxy, answer.text("service")),
        "unknown" => format!(
            "{} It may have run, so it was not sent again, and 502 promises nothing.",
            failed.map_or_else(|| "No attempt's end is known.".to_owned(), attempt_failed)
        ),
        "timeout" => format!(
            "No answer came within its time ({} ms). {}",
            answer.number("took_ms"),
            failed.map_or_else(String::new, attempt_failed)
        ),
        it => format!("It ended with {status} ({it})."),
    }
}

fn untold(about: &[EventLine], all: &[EventLine]) -> String {
    let dropped: u64 =
        all.iter().filter(|it| &*it.event == "dropped").map(|it| it.number("ordinary") + it.number("full")).sum();
    let told = if about.is_empty() { "No line names it" } else { "No line tells its end" };
    format!(
        "{told}: these files don't hold its ingress's lines, it is still under way, its ingress ended, or its lines were \
         left out ({dropped} were, in these files)."
    )
}

fn endpoint_failed(
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
    let turned = all.iter().rfind(|it| {
        &*it.event == "standing"
            && *it.proxy == *guard
            && it.text("standing") == "suspect"
            && (it.time - failed.time).abs() < RECENT
    });
    let gray = turned.map_or_else(String::new, |it| {
        format!(" Its guard made it suspect of failing gray by request {} ({}).", it.text("request"), it.text("why"))
    });
    format!("The endpoint beside {guard} answered {status} itself after {} ms.{gray}", failed.number("took_ms"))
}

fn no_place(answer: &EventLine, about: &[EventLine]) -> String {
    let refused = |why: &str| about.iter().filter(|it| &*it.event == "no-place" && it.text("why") == why).count();
    format!(
        "No place became free in {} ms at {}: of {} guards asked, {} had an endpoint that failed or declined of late, {} had none that \
         takes work, {} had no allowance for repeats left; the others' queues did not move in time. It has not run.",
        answer.number("waited_ms"),
        answer.text("service"),
        answer.number("asked"),
        refused("Suspect"),
        refused("Elsewhere"),
        refused("NoAllowance"),
    )
}

fn attempt_failed(it: &EventLine) -> String {
    if it.fields.get("why").and_then(|it| it.get("unknown")).and_then(Value::as_str) == Some("Ended") {
        return format!(
            "The endpoint beside {} ended with it after {} ms; explain --fingerprint {} tells of others like it.",
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
    let held_back = about.iter().filter(|it| !it.text("quarantined").is_empty()).count();
    let last = about.iter().rfind(|it| &*it.event == "quarantine");
    let now = match last {
        Some(it) if it.fields.get("held").and_then(Value::as_bool) == Some(true) => "It was held back last.".to_owned(),
        Some(it) => format!("It is held back no longer ({} at {}).", it.text("source"), it.proxy),
        None => "It was never held back.".to_owned(),
    };
    format!("{} {held_back} request(s) were held back. {now}", ends_under(fingerprint, about))
}

/// Which endpoints ended under requests with this fingerprint.
fn ends_under(fingerprint: &str, about: &[EventLine]) -> String {
    let ends: Vec<String> = about
        .iter()
        .filter(|it| &*it.event == "ended-under" && it.text("fingerprint") == fingerprint)
        .map(|it| format!("{} ({})", it.text("endpoint"), it.text("request")))
        .collect();
    format!("{} endpoint(s) ended under requests with the fingerprint {fingerprint}: {}.", ends.len(), ends.join(", "))
}

fn endpoint_cause(id: &str, about: &[EventLine]) -> String {
    let last = about.iter().rev().find(|it| &*it.event == "endpoint");
    let turned = about.iter().rev().find(|it| &*it.event == "standing");
    let phase = last.map_or("never announced", |it| it.text("phase"));
    let standing = match turned {
        Some(it) if it.text("standing") == "clean" => "clean again".to_owned(),
        Some(it) => format!("{} since request {} ({})", it.text("standing"), it.text("request"), it.text("why")),
        None => "never suspect".to_owned(),
    };
    format!("Endpoint {id}: last {phase}; {standing}.")
}

fn config_cause(version: u64, about: &[EventLine], all: &[EventLine]) -> String {
    let (Some(first), Some(last)) = (about.first(), about.last()) else {
        return format!("No proxy had version {version} in force.");
    };
    let from_peers = about.iter().filter(|it| it.text("source") == "peer").count();
    format!(
        "Version {version} was in force at {} of {} proxies within {:.3} s of the first; {from_peers} had it from a peer.",
        proxies(about),
        proxies(all),
        last.time - first.time
    )
}

/// How many proxies wrote these lines; one that restarted counts once.
fn proxies(lines: &[EventLine]) -> usize {
    let mut names: Vec<&str> = lines.iter().map(|it| &*it.proxy).collect();
    names.sort_unstable();
    names.dedup();
    names.len()
}
