//! The endpoints of each service as this ingress sees them, kept up to date row by row.

use std::{
    sync::{
        Arc, Mutex, PoisonError, RwLock,
        atomic::{AtomicU32, Ordering},
    },
    time::{Duration, Instant},
};

use rand::Rng;

use crate::{
    decide::{Candidate, EndpointCapacity, PathHealth, choose_endpoint, eligible_endpoints, median_failure_rate},
    rows::{DaemonId, EndpointRow, EndpointState, Incarnation, Row},
    targets::{Directory, Importance},
    util::lock,
    wire::{DispatchReply, Refusal},
};

/// How long what a guard tells of an endpoint's load is believed.
const TOLD_AGE: Duration = Duration::from_millis(250);
/// The floor of a service the configuration does not know.
const DEFAULT_FLOOR: u8 = 50;
/// One in so many idempotent requests tries an endpoint out.
const TRIAL_ONE_IN: u32 = 16;

/// A guard and this daemon's path to it.
#[derive(Debug)]
pub(crate) struct Guard {
    pub(crate) daemon: DaemonId,
    pub(crate) incarnation: Incarnation,
    pub(crate) peers: std::net::SocketAddr,
    near: bool,
    path: Mutex<PathHealth>,
}

impl Guard {
    /// The guard answered, whatever it said.
    pub(crate) fn answered(&self) {
        lock(&self.path).record_success();
    }

    /// The guard could not be reached or gave no answer.
    pub(crate) fn failed(&self) {
        lock(&self.path).record_failure(Instant::now());
        metrics::counter!("jayreach_path_failures_total").increment(1);
    }
}

/// An endpoint as a target of this ingress.
#[derive(Debug)]
pub(crate) struct Target {
    pub(crate) guard: Arc<Guard>,
    pub(crate) row: EndpointRow,
    load: Arc<Load>,
}

#[derive(Debug, Default)]
struct Load {
    in_flight: AtomicU32,
    told: Mutex<Option<Told>>,
}

#[derive(Debug, Clone, Copy)]
struct Told {
    load: u32,
    admits: Importance,
    at: Instant,
}

impl Target {
    /// Takes in what the guard told with an answer.
    pub(crate) fn tell(&self, reply: &DispatchReply) {
        let told = Told { load: reply.load, admits: reply.min_importance, at: Instant::now() };
        *lock(&self.load.told) = Some(told);
    }

    /// Counts work in flight until the value is closed.
    pub(crate) fn start(&self) -> InFlight {
        self.load.in_flight.fetch_add(1, Ordering::Relaxed);
        InFlight(Arc::clone(&self.load))
    }

    fn told(&self, now: Instant) -> Option<Told> {
        lock(&self.load.told).filter(|it| now.saturating_duration_since(it.at) < TOLD_AGE)
    }

    fn candidate(&self, importance: Importance, tried: &[Arc<Self>], now: Instant) -> Candidate {
        let told = self.told(now);
        let refuses = told.is_some_and(|it| it.admits > importance);
        let was_tried = tried.iter().any(|it| it.row.id == self.row.id && it.guard.daemon == self.guard.daemon);
        let in_flight = self.load.in_flight.load(Ordering::Relaxed);
        Candidate {
            near: self.guard.near,
            suspect: self.row.state == EndpointState::Suspect,
            avoid: refuses || was_tried || lock(&self.guard.path).is_backing_off(now),
            load: in_flight.max(told.map_or(0, |it| it.load)),
            slots: self.row.slots,
        }
    }
}

/// Work in flight to a target.
pub(crate) struct InFlight(Arc<Load>);

impl InFlight {
    /// The work has ended.
    pub(crate) fn close(self) {
        self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

/// One service's endpoints.
#[derive(Debug)]
struct Service {
    name: Box<str>,
    /// Sorted by guard and endpoint.
    targets: Vec<Arc<Target>>,
    /// Whether the floor and the state let it have work; as long as `targets`.
    eligible: Vec<bool>,
}

/// All services' endpoints.
pub(crate) struct View {
    data_centre: Box<str>,
    inner: RwLock<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    /// Sorted by name; each has a target.
    services: Vec<Arc<Service>>,
    /// Sorted by daemon; each has an endpoint in each of its services.
    guards: Vec<Known>,
}

#[derive(Debug)]
struct Known {
    guard: Arc<Guard>,
    /// Sorted.
    services: Vec<Box<str>>,
}

/// A service's endpoints, counted for operators.
#[derive(Debug, serde::Serialize)]
pub(crate) struct ServiceCount {
    service: Box<str>,
    endpoints: usize,
    eligible: usize,
}

impl View {
    /// An empty view from `data_centre`.
    pub(crate) fn new(data_centre: Box<str>) -> Self {
        Self { data_centre, inner: RwLock::default() }
    }

    /// Takes a row in; `directory` gives the floors.
    pub(crate) fn apply(&self, row: &Row, directory: Option<&Directory>) {
        let mut inner = self.inner.write().unwrap_or_else(PoisonError::into_inner);
        let found = inner.guards.binary_search_by(|it| it.guard.daemon.cmp(&row.daemon));
        let known = found.ok().map(|at| inner.guards.remove(at));
        let guard = self.guard(row, known.as_ref());
        let gone = row.stamp.down || row.leaving;
        let offered: &[EndpointRow] = if gone { &[] } else { &row.endpoints };
        let services = service_names(offered);
        let mut affected = known.map_or_else(Vec::new, |it| it.services);
        affected.extend_from_slice(&services);
        affected.sort();
        affected.dedup();
        for name in affected {
            inner.replace(&guard, name, offered, directory);
        }
        let at = found.unwrap_or_else(|at| at);
        if !services.is_empty() {
            inner.guards.insert(at, Known { guard, services });
        }
    }

    /// Applies the floors of a new configuration.
    pub(crate) fn refloor(&self, directory: &Directory) {
        let mut inner = self.inner.write().unwrap_or_else(PoisonError::into_inner);
        for service in &mut inner.services {
            let targets = service.targets.clone();
            *service = Arc::new(Service::new(service.name.clone(), targets, Some(directory)));
        }
    }

    /// The path's health outlives a row, but not an incarnation.
    fn guard(&self, row: &Row, known: Option<&Known>) -> Arc<Guard> {
        let same = known.filter(|it| it.guard.incarnation == row.stamp.incarnation && it.guard.peers == row.peers);
        match same {
            Some(it) => Arc::clone(&it.guard),
            None => Arc::new(Guard {
                daemon: row.daemon.clone(),
                incarnation: row.stamp.incarnation,
                peers: row.peers,
                near: row.data_centre == self.data_centre,
                path: Mutex::default(),
            }),
        }
    }

    /// Chooses a target for work, or says why there is none.
    pub(crate) fn choose(
        &self,
        service: &str,
        importance: Importance,
        idempotent: bool,
        tried: &[Arc<Target>],
        rng: &mut impl Rng,
    ) -> Result<Arc<Target>, Refusal> {
        let service = self.service(service).ok_or(Refusal::NoEndpoint)?;
        let now = Instant::now();
        let trial = idempotent && rng.next_u32().is_multiple_of(TRIAL_ONE_IN);
        if let Some(it) = service.on_trial().filter(|_| trial && tried.is_empty()) {
            return Ok(Arc::clone(it));
        }
        let allowed = service.targets.iter().zip(&service.eligible);
        let allowed: Vec<_> = allowed.filter(|(_, ok)| **ok).map(|(it, _)| it).collect();
        let candidates: Vec<_> = allowed.iter().map(|it| it.candidate(importance, tried, now)).collect();
        let at = choose_endpoint(&candidates, rng).ok_or(Refusal::NoEndpoint)?;
        let refused = |it: &&Arc<Target>| it.told(now).is_some_and(|told| told.admits > importance);
        if candidates[at].avoid && allowed.iter().all(refused) {
            metrics::counter!("jayreach_early_refusals_total").increment(1);
            return Err(Refusal::Overloaded);
        }
        Ok(Arc::clone(allowed[at]))
    }

    /// The failure rate of a service's endpoints other than `except`.
    pub(crate) fn baseline(&self, service: &str, except: &str) -> f64 {
        let Some(service) = self.service(service) else { return 0.0 };
        let others = service.targets.iter().filter(|it| *it.row.id != *except);
        let mut levels: Vec<u8> = others.map(|it| it.row.failures).collect();
        median_failure_rate(&mut levels)
    }

    /// The guards of a service.
    pub(crate) fn guards(&self, service: &str) -> Vec<Arc<Guard>> {
        let Some(service) = self.service(service) else { return Vec::new() };
        let mut guards: Vec<_> = service.targets.iter().map(|it| Arc::clone(&it.guard)).collect();
        guards.dedup_by(|a, b| a.daemon == b.daemon);
        guards
    }

    /// Counts for operators.
    pub(crate) fn counts(&self) -> Vec<ServiceCount> {
        let inner = self.inner.read().unwrap_or_else(PoisonError::into_inner);
        let count = |it: &Arc<Service>| ServiceCount {
            service: it.name.clone(),
            endpoints: it.targets.len(),
            eligible: it.eligible.iter().filter(|ok| **ok).count(),
        };
        inner.services.iter().map(count).collect()
    }

    fn service(&self, name: &str) -> Option<Arc<Service>> {
        let inner = self.inner.read().unwrap_or_else(PoisonError::into_inner);
        let at = inner.services.binary_search_by(|it| (*it.name).cmp(name)).ok()?;
        Some(Arc::clone(&inner.services[at]))
    }
}

impl Inner {
    /// Replaces a guard's targets in one service.
    fn replace(&mut self, guard: &Arc<Guard>, name: Box<str>, offered: &[EndpointRow], directory: Option<&Directory>) {
        let found = self.services.binary_search_by(|it| it.name.cmp(&name));
        let old: &[Arc<Target>] = found.map_or(&[], |at| &self.services[at].targets);
        let targets = replace(old, guard, &name, offered);
        let service = Arc::new(Service::new(name, targets, directory));
        match found {
            Ok(at) if service.targets.is_empty() => _ = self.services.remove(at),
            Ok(at) => self.services[at] = service,
            Err(_) if service.targets.is_empty() => (),
            Err(at) => self.services.insert(at, service),
        }
    }
}

fn service_names(offered: &[EndpointRow]) -> Vec<Box<str>> {
    let mut names: Vec<_> = offered.iter().map(|it| it.service.clone()).collect();
    names.sort();
    names.dedup();
    names
}

impl Service {
    fn new(name: Box<str>, targets: Vec<Arc<Target>>, directory: Option<&Directory>) -> Self {
        let floor = directory.and_then(|it| it.service(&name)).map_or(DEFAULT_FLOOR, |it| it.floor_percent);
        let standings: Vec<_> = targets
            .iter()
            .map(|it| EndpointCapacity { slots: it.row.slots, state: it.row.state, failure_level: it.row.failures })
            .collect();
        let eligible = eligible_endpoints(&standings, floor);
        Self { name, targets, eligible }
    }

    fn on_trial(&self) -> Option<&Arc<Target>> {
        self.targets.iter().find(|it| it.row.state == EndpointState::Trial)
    }
}

/// The service's targets with those of `guard` replaced; loads stay with their endpoints.
fn replace(old: &[Arc<Target>], guard: &Arc<Guard>, service: &str, offered: &[EndpointRow]) -> Vec<Arc<Target>> {
    let of_others = old.iter().filter(|it| it.guard.daemon != guard.daemon);
    let mut targets: Vec<_> = of_others.map(Arc::clone).collect();
    for row in offered.iter().filter(|it| *it.service == *service) {
        let known = old.iter().find(|it| it.guard.daemon == guard.daemon && it.row.id == row.id);
        let load = known.map_or_else(Arc::default, |it| Arc::clone(&it.load));
        targets.push(Arc::new(Target { guard: Arc::clone(guard), row: row.clone(), load }));
    }
    targets.sort_by(|a, b| (&a.guard.daemon, &a.row.id).cmp(&(&b.guard.daemon, &b.row.id)));
    targets
}
