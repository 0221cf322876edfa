//! What the endpoints of other proxies said about themselves, in answers that this proxy passed on or to their guards.
//!
//! A guard that restarts forgets what its endpoint said, but the proxies that passed it on are still bound by it, and
//! so is the guard by what it acknowledged. So a guard tells its peers that its endpoint is leaving; each peer reports
//! what it knows with its next reservation, before the guard issues a grant, and sends an endpoint that is leaving no
//! more requests, whatever the guard's row says.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use tokio::task::spawn_local;

use crate::{
    decide::{incarnation::EndpointId, rate_limit::LimitStatement},
    proxy::{
        Proxy, clock,
        directory::ProxyName,
        endpoint::EndpointNotice,
        gossip::PEER_CALL_TIMEOUT,
        message::{EndpointReport, LeavingNotice, path},
    },
};

/// A report whose age grows.
#[derive(Debug, Clone)]
struct AgingReport {
    report: EndpointReport,
    learnt_at: Instant,
}

/// The last report about the endpoint of each proxy, for endpoints that said anything.
#[derive(Debug, Default)]
pub(super) struct EndpointReports {
    /// Sorted by proxy.
    reports: Vec<(ProxyName, AgingReport)>,
}

impl EndpointReports {
    /// Records what an answer of `endpoint`, on the VM of the proxy `name`, states. `listed` is the endpoint of that
    /// proxy by the directory: an answer of a former one does not replace what the listed one said.
    pub(super) fn record_answer(
        &mut self,
        name: &str,
        endpoint: &EndpointId,
        notice: EndpointNotice,
        listed: Option<&EndpointId>,
        now: Instant,
    ) {
        // Whether a limit has ended is for the guard to say, which sees all answers in their order.
        let limit = match notice.limit {
            LimitStatement::Limit(rate) => Some(rate),
            LimitStatement::None | LimitStatement::Unknown => None,
        };
        let leaving = notice.leaving;
        if limit.is_none() && !leaving {
            return;
        }
        let report = EndpointReport { endpoint: endpoint.clone(), limit, leaving, age: Duration::ZERO };
        let next = AgingReport { report, learnt_at: now };
        match self.position(name) {
            Err(at) => self.reports.insert(at, (name.into(), next)),
            Ok(at) => {
                let known = &mut self.reports[at].1;
                if known.report.endpoint == *endpoint {
                    known.report.limit = known.report.limit.or(limit);
                    known.report.leaving |= leaving;
                } else if listed != Some(&known.report.endpoint) {
                    *known = next;
                }
            }
        }
    }

    /// Applies what the guard `name` says about its endpoint's limit, if it passed on a limit before.
    pub(super) fn update_limit(&mut self, name: &str, limit: LimitStatement) {
        let Ok(at) = self.position(name) else { return };
        let known = &mut self.reports[at].1.report;
        match limit {
            LimitStatement::Unknown => (),
            LimitStatement::None => known.limit = None,
            LimitStatement::Limit(rate) => known.limit = known.limit.map(|_| rate),
        }
    }

    /// The report to send to the proxy `name`.
    pub(super) fn get(&self, name: &str, now: Instant) -> Option<EndpointReport> {
        let it = &self.reports[self.position(name).ok()?].1;
        if it.report.limit.is_none() && !it.report.leaving {
            return None;
        }
        Some(EndpointReport { age: now.saturating_duration_since(it.learnt_at), ..it.report.clone() })
    }

    /// Whether `endpoint`, on the VM of the proxy `name`, said that it is leaving.
    pub(super) fn is_leaving(&self, name: &str, endpoint: &EndpointId) -> bool {
        let report = self.get(name, clock::now());
        report.is_some_and(|it| it.leaving && it.may_be_about(endpoint, clock::unix_millis()))
    }

    /// Removes the reports about the endpoints of proxies for which `keep` is false.
    pub(super) fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.reports.retain(|it| keep(&it.0));
    }

    fn position(&self, name: &str) -> Result<usize, usize> {
        self.reports.binary_search_by(|it| (*it.0).cmp(name))
    }
}

impl Proxy {
    /// The report about the endpoint on the VM of the proxy `name`.
    pub(super) fn endpoint_report(&self, name: &str) -> Option<EndpointReport> {
        self.endpoint_reports.borrow().get(name, clock::now())
    }

    /// Records what an answer that is about to be passed on states about its endpoint, on the VM of the proxy `name`.
    pub(super) fn record_passed_on(&self, name: &str, endpoint: &EndpointId, notice: EndpointNotice) {
        let directory = self.directory.borrow();
        let listed = directory.get(name).and_then(|it| it.endpoints.endpoint.as_ref()).map(|it| &it.id);
        self.endpoint_reports.borrow_mut().record_answer(name, endpoint, notice, listed, clock::now());
    }

    /// Tells the linked proxies each time the endpoint of this VM has said that it is leaving. Never returns.
    pub(super) async fn tell_peers_of_leaving(self: Rc<Self>) {
        let mut told = None;
        loop {
            self.guard.said_leaving_changed.notified().await;
            let leaving = self.guard.leaving_endpoint();
            if let Some(endpoint) = leaving.clone().filter(|_| leaving != told) {
                let notice = LeavingNotice { name: self.name.clone(), endpoint };
                for (_, link) in self.links.borrow().iter().filter(|it| it.1.is_connected()) {
                    let (link, notice) = (Rc::clone(link), notice.clone());
                    spawn_local(async move {
                        _ = link.call_within::<_, ()>(PEER_CALL_TIMEOUT, path::LEAVING, &notice).await;
                    });
                }
            }
            told = leaving;
        }
    }

    /// Handles a peer's notice that the endpoint on its VM is leaving.
    pub(super) fn note_peer_endpoint_leaving(&self, it: &LeavingNotice) {
        let notice = EndpointNotice { limit: LimitStatement::Unknown, leaving: true };
        self.record_passed_on(&it.name, &it.endpoint, notice);
    }
}
