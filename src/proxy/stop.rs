//! Signals, reloading of the settings file, and graceful shutdown.

use std::{io, rc::Rc, time::Duration};

use tokio::{
    signal::unix::{Signal, SignalKind, signal},
    time::{interval, sleep, timeout},
};

use crate::{
    decide::{
        hedge::IngressStop,
        shutdown::{Shutdown, ShutdownStage},
    },
    proxy::{Proxy, clock, events::Event, settings::Settings},
    startup_signals,
};

/// How often the settings file is read again; it may change without a SIGHUP.
const RELOAD_INTERVAL: Duration = Duration::from_secs(2);
/// How long a stopping proxy waits until the last responses to peers are written; long ones have been fetched before.
const PEER_FLUSH_TIME: Duration = Duration::from_millis(300);
/// How often a stopping proxy checks whether its stage is over.
const STAGE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Handlers of SIGTERM, SIGINT and SIGHUP. A signal that arrives before `recv` is kept.
pub(super) struct Signals {
    term: Signal,
    int: Signal,
    hup: Signal,
}

impl Signals {
    /// Installs the handlers and releases the signals that were held during the start.
    pub(super) fn register() -> io::Result<Self> {
        let signals = Self {
            term: signal(SignalKind::terminate())?,
            int: signal(SignalKind::interrupt())?,
            hup: signal(SignalKind::hangup())?,
        };
        startup_signals::release();
        Ok(signals)
    }
}

/// Serves until SIGTERM or SIGINT, then finishes the work in progress and returns.
pub(super) async fn run_until_stopped(proxy: &Rc<Proxy>, signals: Signals) {
    let Signals { mut term, mut int, mut hup } = signals;
    let mut reload_interval = interval(RELOAD_INTERVAL);
    let received = loop {
        tokio::select! {
            _ = term.recv() => break "SIGTERM",
            _ = int.recv() => break "SIGINT",
            _ = hup.recv() => proxy.reload(),
            _ = reload_interval.tick() => proxy.reload(),
        }
    };
    let finish = proxy.finish(received);
    tokio::pin!(finish);
    loop {
        tokio::select! {
            () = &mut finish => return,
            // The platform restarts the grace period with each SIGTERM.
            _ = term.recv() => proxy.restart_grace(),
        }
    }
}

impl Proxy {
    /// Reads the settings file again. Invalid settings are reported and the previous ones stay active.
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

    /// Shuts down in stages: hands over, finishes the work in progress, and leaves the fleet if the endpoint is gone.
    async fn finish(self: &Rc<Self>, received: &str) {
        let shutdown = Shutdown::new(clock::now(), self.settings.borrow().shutdown_grace);
        self.stop.set(Some(shutdown));
        self.stop_requested.notify_waiters();
        self.log_stopping(received);
        let removal = self.leave_fleet();
        let hand_over = async {
            self.guard.drain_until(shutdown.work_deadline());
            self.wait_for_stage(ShutdownStage::Finishing).await;
            self.guard.stop_granting();
            self.wait_for_stage(ShutdownStage::Done).await;
        };
        tokio::join!(removal, hand_over);
        // Calls of peers that wait for something else than work here don't hold up the stop.
        _ = timeout(PEER_FLUSH_TIME, self.peer_connections.clone().close()).await;
        self.log_stopping("done");
        // Gives the event writer time to write its last lines.
        sleep(Duration::from_millis(20)).await;
    }

    /// Leaves the fleet if no endpoint is serving. While an endpoint serves, the proxy is expected to restart.
    async fn leave_fleet(&self) {
        if self.guard.serving_endpoint().is_some() {
            return;
        }
        self.directory.borrow_mut().update_own(clock::now(), |it| it.leaving = true);
        self.request_hello_to_all();
        if let Err(error) = self.store.remove_presence(&self.name).await {
            log::debug!("removing this proxy's presence object from the store: {error}");
        }
    }

    /// Handles a further SIGTERM: the grace period starts again.
    fn restart_grace(&self) {
        if let Some(mut shutdown) = self.stop.get() {
            shutdown.extend_grace(clock::now());
            self.stop.set(Some(shutdown));
        }
        self.log_stopping("SIGTERM again");
    }

    fn log_stopping(&self, why: &str) {
        self.events.emit(&Event::Stopping { why, running: self.work_in_progress() });
    }

    /// Number of requests and responses, of callers and peers, and of runs at the endpoint that have not ended.
    fn work_in_progress(&self) -> usize {
        self.caller_exchanges.count() + self.peer_exchanges.count() + self.guard.open_work()
    }

    /// Waits until this proxy is stopping and all its requests must have their responses.
    pub(super) async fn wait_for_answer_deadline(&self) {
        while self.stop.get().is_none() {
            self.stop_requested.notified().await;
        }
        while let Some(left) = self.stop.get().and_then(|it| it.answer_deadline().checked_duration_since(clock::now()))
        {
            sleep(left.max(Duration::from_millis(1))).await;
        }
    }

    /// What this proxy knows about its own end. The platform stops the VM some time after its endpoint has said that it
    /// leaves.
    pub(super) fn ingress_stop(&self) -> IngressStop {
        match self.stop.get() {
            Some(it) => IngressStop::AnswersBy(it.answer_deadline()),
            None if self.guard.endpoint_said_leaving() => {
                IngressStop::Soon(Shutdown::answer_time(self.settings.borrow().shutdown_grace))
            }
            None => IngressStop::NotExpected,
        }
    }

    /// Waits until [`Self::ingress_stop`] may have changed.
    pub(super) async fn wait_for_ingress_stop_change(&self) {
        tokio::select! {
            () = self.stop_requested.notified() => (),
            () = self.guard.said_leaving_changed.notified() => (),
        }
    }

    /// Waits until the shutdown has reached `stage` or is done.
    async fn wait_for_stage(&self, stage: ShutdownStage) {
        while let Some(mut shutdown) = self.stop.get() {
            let current = shutdown.advance(clock::now(), self.work_in_progress() > 0);
            self.stop.set(Some(shutdown));
            if current == stage || current == ShutdownStage::Done {
                return;
            }
            sleep(STAGE_CHECK_INTERVAL).await;
        }
    }
}
