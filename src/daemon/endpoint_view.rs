//! The endpoints of each service as this ingress sees them, updated row by row, and the choice of one for a request.

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
    targets::{ConfigIndex, Importance},
    util::lock,
    wire::{DispatchReply, Refusal},
};

/// How long the load that a guard reported for an endpoint is used.
const LOAD_REPORT_TTL: Duration = Duration::from_millis(250);
/// The capacity floor of a service that the configuration doesn't list.
const DEFAULT_FLOOR_PERCENT: u8 = 50;
/// The first attempt of one in this many idempotent requests goes to an endpoint in trial, if there is one.
const TRIAL_ONE_IN: u32 = 16;

/// The guard of some endpoints, and the health of the path to it.
#[derive(Debug)]
pub(crate) struct Guard {
    pub(crate) daemon: DaemonId,
    pub(crate) incarnation: Incarnation,
    pub(crate) peers: std::net::SocketAddr,
    same_data_centre: bool,
    path_health: Mutex<PathHealth>,
}

impl Guard {
    /// Records for the path that the guard replied, whatever the outcome.
    pub(crate) fn record_success(&self) {
        lock(&self.path_health).record_success();
    }

    /// Records for the path that the guard could not be reached or did not reply.
    pub(crate) fn record_failure(&self) {
        lock(&self.path_health).record_failure(Instant::now());
        metrics::counter!("jayreach_path_failures_total").increment(1);
    }
}

/// An endpoint to which this ingress may send requests.
#[derive(Debug)]
pub(crate) struct Target {
    pub(crate) guard: Arc<Guard>,
    pub(crate) row: EndpointRow,
    load: Arc<TargetLoad>,
}

#[derive(Debug, Default)]
struct TargetLoad {
    in_flight: AtomicU32,
    report: Mutex<Option<LoadReport>>,
}

#[derive(Debug, Clone, Copy)]
struct LoadReport {
    load: u32,
    min_importance: Importance,
    received_at: Instant,
}

impl Target {
    /// Records the load and the minimum importance that a guard reported with a reply.
    pub(crate) fn record_reply(&self, reply: &DispatchReply) {
        let report = LoadReport { load: reply.load, min_importance: reply.min_importance, received_at: Instant::now() };
        *lock(&self.load.report) = Some(report);
    }

    /// Counts a request as in flight until the returned value is closed.
    pub(crate) fn start_request(&self) -> InFlight {
        self.load.in_flight.fetch_add(1, Ordering::Relaxed);
        InFlight(Arc::clone(&self.load))
    }

    fn load_report(&self, now: Instant) -> Option<LoadReport> {
        lock(&self.load.report).filter(|it| now.saturating_duration_since(it.received_at) < LOAD_REPORT_TTL)
    }

    fn candidate(&self, importance: Importance, tried: &[Arc<Self>], now: Instant) -> Candidate {
        let report = self.load_report(now);
        let refuses = report.is_some_and(|it| it.min_importance > importance);
        let was_tried = tried.iter().any(|it| it.row.id == self.row.id && it.guard.daemon == self.guard.daemon);
        let in_flight = self.load.in_flight.load(Ordering::Relaxed);
        Candidate {
            same_data_centre: self.guard.same_data_centre,
            suspect: self.row.state == EndpointState::Suspect,
            avoid: refuses || was_tried || lock(&self.guard.path_health).is_backing_off(now),
            load: in_flight.max(report.map_or(0, |it| it.load)),
            slots: self.row.slots,
        }
    }
}

/// A request in flight to a target.
pub(crate) struct InFlight(Arc<TargetLoad>);

impl InFlight {
    /// Ends the request.
    pub(crate) fn close(self) {
        self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

/// The endpoints of one service.
#[derive(Debug)]
struct Service {
    name: Box<str>,
    /// Sorted by guard and endpoint.
    targets: Vec<Arc<Target>>,
    /// For each of `targets`, whether its state or the capacity floor allows requests.
    eligible: Vec<bool>,
}

/// The endpoints of all services.
pub(crate) struct EndpointView {
    data_centre: Box<str>,
    inner: RwLock<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    /// Sorted by name; each has at least one target.
    services: Vec<Arc<Service>>,
    /// Sorted by daemon; each has an endpoint of each of its services.
    guards: Vec<GuardServices>,
}

#[derive(Debug)]
struct GuardServices {
    guard: Arc<Guard>,
    /// Sorted, without duplicates.
    services: Vec<Box<str>>,
}

/// The number of endpoints of a service, for the status page.
#[derive(Debug, serde::Serialize)]
pub(crate) struct ServiceCount {
    service: Box<str>,
    endpoints: usize,
    eligible: usize,
}

impl EndpointView {
    /// An empty view for an ingress in `data_centre`.
    pub(crate) fn new(data_centre: Box<str>) -> Self {
        Self { data_centre, inner: RwLock::default() }
    }

    /// Replaces the endpoints of the row's daemon; `config_index` gives the capacity floors.
    pub(crate) fn apply_row(&self, row: &Row, config_index: Option<&ConfigIndex>) {
        let mut inner = self.inner.write().unwrap_or_else(PoisonError::into_inner);
        let found = inner.guards.binary_search_by(|it| it.guard.daemon.cmp(&row.name));
        let known = found.ok().map(|at| inner.guards.remove(at));
        let guard = self.guard_of_row(row, known.as_ref());
        let gone = row.stamp.down || row.leaving;
        let endpoints: &[EndpointRow] = if gone { &[] } else { &row.endpoints };
        let services = service_names(endpoints);
        let mut affected = known.map_or_else(Vec::new, |it| it.services);
        affected.extend_from_slice(&services);
        affected.sort();
        affected.dedup();
        for name in affected {
            inner.replace_targets(&guard, name, endpoints, config_index);
        }
        let at = found.unwrap_or_else(|at| at);
        if !services.is_empty() {
            inner.guards.insert(at, GuardServices { guard, services });
        }
    }

    /// Applies the capacity floors of a new configuration.
    pub(crate) fn update_floors(&self, config_index: &ConfigIndex) {
        let mut inner = self.inner.write().unwrap_or_else(PoisonError::into_inner);
        for service in &mut inner.services {
            let targets = service.targets.clone();
            *service = Arc::new(Service::new(service.name.clone(), targets, Some(config_index)));
        }
    }

    /// The guard of a row: the known one, with the health of its path, unless its incarnation or address changed.
    fn guard_of_row(&self, row: &Row, known: Option<&GuardServices>) -> Arc<Guard> {
        let same =
            known.filter(|it| it.guard.incarnation == row.stamp.incarnation && it.guard.peers == row.peer_address);
        match same {
            Some(it) => Arc::clone(&it.guard),
            None => Arc::new(Guard {
                daemon: row.name.clone(),
                incarnation: row.stamp.incarnation,
                peers: row.peer_address,
                same_data_centre: row.data_centre == self.data_centre,
                path_health: Mutex::default(),
            }),
        }
    }

    /// Chooses a target for a request, or returns why there is none.
    ///
    /// # Errors
    ///
    /// `NoEndpoint` if no endpoint is eligible; `Overloaded` if all eligible ones reported that they refuse this
    /// importance.
    pub(crate) fn choose_target(
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
        if let Some(it) = service.target_in_trial().filter(|_| trial && tried.is_empty()) {
            return Ok(Arc::clone(it));
        }
        let allowed = service.targets.iter().zip(&service.eligible);
        let allowed: Vec<_> = allowed.filter(|(_, ok)| **ok).map(|(it, _)| it).collect();
        let candidates: Vec<_> = allowed.iter().map(|it| it.candidate(importance, tried, now)).collect();
        let at = choose_endpoint(&candidates, rng).ok_or(Refusal::NoEndpoint)?;
        let refused = |it: &&Arc<Target>| it.load_report(now).is_some_and(|report| report.min_importance > importance);
        if candidates[at].avoid && allowed.iter().all(refused) {
            metrics::counter!("jayreach_early_refusals_total").increment(1);
            return Err(Refusal::Overloaded);
        }
        Ok(Arc::clone(allowed[at]))
    }

    /// The median failure rate of a service's endpoints other than `except`, from 0 to 1.
    pub(crate) fn baseline_failure_rate(&self, service: &str, except: &str) -> f64 {
        let Some(service) = self.service(service) else { return 0.0 };
        let others = service.targets.iter().filter(|it| *it.row.id != *except);
        let mut levels: Vec<u8> = others.map(|it| it.row.failure_level).collect();
        median_failure_rate(&mut levels)
    }

    /// The guards of a service's endpoints.
    pub(crate) fn guards(&self, service: &str) -> Vec<Arc<Guard>> {
        let Some(service) = self.service(service) else { return Vec::new() };
        let mut guards: Vec<_> = service.targets.iter().map(|it| Arc::clone(&it.guard)).collect();
        guards.dedup_by(|a, b| a.daemon == b.daemon);
        guards
    }

    /// The counts for the status page.
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
    /// Replaces the targets of a guard in one service.
    fn replace_targets(
        &mut self,
        guard: &Arc<Guard>,
        name: Box<str>,
        endpoints: &[EndpointRow],
        config_index: Option<&ConfigIndex>,
    ) {
        let found = self.services.binary_search_by(|it| it.name.cmp(&name));
        let old: &[Arc<Target>] = found.map_or(&[], |at| &self.services[at].targets);
        let targets = replace_targets(old, guard, &name, endpoints);
        let service = Arc::new(Service::new(name, targets, config_index));
        match found {
            Ok(at) if service.targets.is_empty() => _ = self.services.remove(at),
            Ok(at) => self.services[at] = service,
            Err(_) if service.targets.is_empty() => (),
            Err(at) => self.services.insert(at, service),
        }
    }
}

fn service_names(endpoints: &[EndpointRow]) -> Vec<Box<str>> {
    let mut names: Vec<_> = endpoints.iter().map(|it| it.service.clone()).collect();
    names.sort();
    names.dedup();
    names
}

impl Service {
    fn new(name: Box<str>, targets: Vec<Arc<Target>>, config_index: Option<&ConfigIndex>) -> Self {
        let floor = config_index.and_then(|it| it.service(&name)).map_or(DEFAULT_FLOOR_PERCENT, |it| it.floor_percent);
        let capacities: Vec<_> = targets
            .iter()
            .map(|it| EndpointCapacity {
                slots: it.row.slots,
                state: it.row.state,
                failure_level: it.row.failure_level,
            })
            .collect();
        let eligible = eligible_endpoints(&capacities, floor);
        Self { name, targets, eligible }
    }

    fn target_in_trial(&self) -> Option<&Arc<Target>> {
        self.targets.iter().find(|it| it.row.state == EndpointState::Trial)
    }
}

/// The targets of a service with those of `guard` replaced. An endpoint that stays keeps its load.
fn replace_targets(
    old: &[Arc<Target>],
    guard: &Arc<Guard>,
    service: &str,
    endpoints: &[EndpointRow],
) -> Vec<Arc<Target>> {
    let others = old.iter().filter(|it| it.guard.daemon != guard.daemon);
    let mut targets: Vec<_> = others.map(Arc::clone).collect();
    for row in endpoints.iter().filter(|it| *it.service == *service) {
        let known = old.iter().find(|it| it.guard.daemon == guard.daemon && it.row.id == row.id);
        let load = known.map_or_else(Arc::default, |it| Arc::clone(&it.load));
        targets.push(Arc::new(Target { guard: Arc::clone(guard), row: row.clone(), load }));
    }
    targets.sort_by(|a, b| (&a.guard.daemon, &a.row.id).cmp(&(&b.guard.daemon, &b.row.id)));
    targets
}
