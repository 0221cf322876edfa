//! Signals, settings that change, and the end.

use std::{io, rc::Rc, time::Duration};

use tokio::{
    signal::unix::{Signal, SignalKind, signal},
    time::{interval, sleep},
};

use crate::{
    decide::shutdown::{Shutdown, ShutdownStage},
    proxy::{Proxy, clock, events::Event, settings::Settings},
};

/// How often the settings file is looked at; it may change without a signal.
const SETTINGS_EVERY: Duration = Duration::from_secs(2);
/// How often a stopping proxy looks whether it is done.
const LOOK_EVERY: Duration = Duration::from_millis(100);

/// The signals that are handled; those that come before they are waited for are kept.
pub(super) struct Signals {
    term: Signal,
    hup: Signal,
}

impl Signals {
    /// Handles them from now on.
    pub(super) fn register() -> io::Result<Self> {
        Ok(Self { term: signal(SignalKind::terminate())?, hup: signal(SignalKind::hangup())? })
    }
}

/// Serves until SIGTERM, then finishes what is under way.
pub(super) async fn run_until_stopped(proxy: &Rc<Proxy>, signals: Signals) {
    let Signals { mut term, mut hup } = signals;
    let mut look = interval(SETTINGS_EVERY);
    loop {
        tokio::select! {
            _ = term.recv() => break,
            _ = hup.recv() => proxy.reload(),
            _ = look.tick() => proxy.reload(),
        }
    }
    let finish = proxy.finish();
    tokio::pin!(finish);
    loop {
        tokio::select! {
            () = &mut finish => return,
            // The platform grants the whole grace anew; to end by the first would cut what it still allows.
            _ = term.recv() => proxy.stop_again(),
        }
    }
}

impl Proxy {
    /// Reads the settings again; bad ones are told and left alone.
    fn reload(&self) {
        match Settings::load(&self.settings_path) {
            Ok(it) if it == **self.settings.borrow() => (),
            Ok(it) => {
                self.events.emit(&Event::Reloaded { changed: true, findings: "" });
                *self.settings.borrow_mut() = Rc::new(it);
            }
            Err(error) => {
                let findings = error.to_string();
                self.events.emit(&Event::Reloaded { changed: false, findings: &findings });
            }
        }
    }

    async fn finish(self: &Rc<Self>) {
        let stop = Shutdown::new(clock::now(), self.settings.borrow().shutdown_grace);
        self.stop.set(Some(stop));
        self.stop_requested.notify_waiters();
        self.tell_stopping("SIGTERM");
        let removal = self.leave_fleet();
        let hand_over = async {
            self.guard.drain_until(stop.work_deadline());
            self.until(ShutdownStage::Finishing).await;
            self.guard.stop_granting();
            self.until(ShutdownStage::Done).await;
        };
        tokio::join!(removal, hand_over);
        self.tell_stopping("done");
        // The event writer gets its last lines out.
        sleep(Duration::from_millis(20)).await;
    }

    /// Leaves the fleet for good if the endpoint is gone; beside one that lives on, another run of this proxy will follow.
    async fn leave_fleet(&self) {
        if self.guard.serving_endpoint().is_some() {
            return;
        }
        self.directory.borrow_mut().edit_own(clock::now(), |it| it.leaving = true);
        self.request_hello_to_all();
        if let Err(error) = self.store.remove_presence(&self.name).await {
            log::debug!("this proxy's object stays in the store: {error}");
        }
    }

    /// Another SIGTERM came.
    fn stop_again(&self) {
        if let Some(mut it) = self.stop.get() {
            it.extend_grace(clock::now());
            self.stop.set(Some(it));
        }
        self.tell_stopping("SIGTERM again");
    }

    fn tell_stopping(&self, why: &str) {
        self.events.emit(&Event::Stopping { why, running: self.under_way() });
    }

    /// Requests and runs that have no end yet.
    fn under_way(&self) -> usize {
        self.open_requests.get() + self.guard.open_grants()
    }

    /// Waits until a stopping process has to give its last answers.
    pub(super) async fn final_responses_due(&self) {
        while self.stop.get().is_none() {
            self.stop_requested.notified().await;
        }
        while let Some(left) = self.stop.get().and_then(|it| it.answer_deadline().checked_duration_since(clock::now()))
        {
            sleep(left.max(Duration::from_millis(1))).await;
        }
    }

    /// Waits until the stop has come to `stage`, or to its end.
    async fn until(&self, stage: ShutdownStage) {
        while let Some(mut stop) = self.stop.get() {
            let now = stop.advance(clock::now(), self.under_way() > 0);
            self.stop.set(Some(stop));
            if now == stage || now == ShutdownStage::Done {
                return;
            }
            sleep(LOOK_EVERY).await;
        }
    }
}
