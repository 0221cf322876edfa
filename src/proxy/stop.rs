//! Signals, settings that change, and the end.

use std::{
    io,
    rc::Rc,
    time::{Duration, Instant},
};

use tokio::{
    signal::unix::{SignalKind, signal},
    time::{interval, sleep},
};

use crate::proxy::{Proxy, clock, events::Event, settings::Settings};

/// How often the settings file is looked at; it may change without a signal.
const SETTINGS_EVERY: Duration = Duration::from_secs(2);
/// How often a stopping proxy looks whether it is done.
const LOOK_EVERY: Duration = Duration::from_millis(100);
/// For how long callers may still come: the platform asks for readiness each second, and two misses
/// send them elsewhere.
const LINGER: Duration = Duration::from_millis(3_200);
/// What is left of the grace when requests get their last answers.
const LAST: Duration = Duration::from_millis(500);
/// The part of the grace in which new requests are taken: the platform needs two seconds of six to
/// send callers elsewhere, and what comes later could not be finished.
const TAKES_PART: f64 = 0.45;
/// The part of the grace within which the endpoint must have ended its work. It lives on beside the next run of
/// this proxy, so until then it takes what is sure to end in time.
const ENDS_PART: f64 = 0.8;
/// How long the last answers have to leave.
const LAST_ANSWERS: Duration = Duration::from_millis(150);

/// Serves until SIGTERM, then finishes what is under way.
pub(super) async fn wait(proxy: &Rc<Proxy>) -> io::Result<()> {
    let mut term = signal(SignalKind::terminate())?;
    let mut hup = signal(SignalKind::hangup())?;
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
            () = &mut finish => return Ok(()),
            // The platform grants the whole grace anew; to end by the first would cut what it still allows.
            _ = term.recv() => proxy.set_end("SIGTERM again"),
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
        let start = clock::now();
        let grace = self.settings.borrow().grace;
        let takes = grace.mul_f64(TAKES_PART);
        self.takes_until.set(Some(start + takes));
        self.set_end("SIGTERM");
        let removal = self.store.remove_presence(&self.name);
        let hand_over = async {
            self.guard.stop_soon(start + grace.mul_f64(ENDS_PART));
            sleep(takes).await;
            self.guard.stop();
        };
        let finished = self.finished(start);
        let (removed, (), ()) = tokio::join!(removal, hand_over, finished);
        if let Err(error) = removed {
            log::debug!("this proxy's object stays in the store: {error}");
        }
        self.events.emit(&Event::Stopping { why: "done", running: self.requests.get() + self.guard.running() });
        // The event writer gets its last lines out.
        sleep(Duration::from_millis(20)).await;
    }

    /// Sets when the process must have given all its answers: shortly before the grace ends.
    fn set_end(&self, why: &str) {
        let grace = self.settings.borrow().grace;
        self.stop_at.set(Some(clock::now() + grace.saturating_sub(LAST)));
        self.stops.notify_waiters();
        self.events.emit(&Event::Stopping { why, running: self.requests.get() + self.guard.running() });
    }

    /// Waits until a stopping process has to give its last answers.
    pub(super) async fn last_call(&self) {
        while self.stop_at.get().is_none() {
            self.stops.notified().await;
        }
        while let Some(left) = self.stop_at.get().and_then(|it| it.checked_duration_since(clock::now())) {
            sleep(left.max(Duration::from_millis(1))).await;
        }
    }

    /// Waits until nothing is under way and callers have gone, or the end has come.
    async fn finished(&self, start: Instant) {
        loop {
            sleep(LOOK_EVERY).await;
            let now = clock::now();
            let idle = self.requests.get() + self.guard.running() == 0;
            let over = self.stop_at.get().is_some_and(|it| now >= it + LAST_ANSWERS);
            if over || (idle && now >= start + LINGER) {
                return;
            }
        }
    }
}
