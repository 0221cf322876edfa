//! What the endpoint says about itself in its answers.

use std::{rc::Rc, time::Instant};

use super::Guard;
use crate::{
    decide::{incarnation::EndpointId, rate_limit::RequestRate},
    proxy::{clock, endpoint::EndpointNotice, events::Event},
};

impl Guard {
    /// Handles the notice in an answer of the endpoint `id` to the request `request_id`, which was sent at `sent`.
    pub(super) fn handle_notice(
        self: &Rc<Self>,
        id: &EndpointId,
        notice: EndpointNotice,
        request_id: &str,
        sent: Instant,
    ) {
        let mut state = self.state.borrow_mut();
        let Some(endpoint) = state.endpoint.as_mut().filter(|it| it.announcement.id == *id) else { return };
        let before = endpoint.limit.rate();
        endpoint.limit.record_answer(notice.limit, sent, clock::now());
        let rate = endpoint.limit.rate();
        drop(state);
        if rate != before {
            self.report_limit(id, rate, before, request_id);
        }
    }

    fn report_limit(&self, id: &EndpointId, rate: Option<RequestRate>, before: Option<RequestRate>, request: &str) {
        self.events.emit(&Event::Limit { endpoint: &id.name, rate, before, source: "answer", request, age_ms: 0 });
        metrics::gauge!("jayreach_endpoint_limited").set(f64::from(u8::from(rate.is_some())));
        metrics::gauge!("jayreach_endpoint_limit").set(rate.map_or(0.0, f64::from));
    }
}
