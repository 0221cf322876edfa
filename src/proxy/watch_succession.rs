//! Has another proxy watch the store when the watchers of its data centre are gone.
//!
//! Each proxy that doesn't watch asks the one before it in rank, several times a second, whether that one watches or
//! stands by. If no proxy before it does, it watches itself. A watcher that lost the store says that it watches:
//! finding a proxy that reaches the store is the watcher's task. The answers also tell the configuration version, as
//! news of it may go to proxies that were lost without a sign.

use std::{rc::Rc, time::Duration};

use futures_util::{StreamExt as _, stream::FuturesUnordered};
use hyper::StatusCode;
use rand::RngExt as _;
use tokio::time::{sleep, timeout};

use crate::{
    decide::watchers::{self, WatchDuty},
    proxy::{
        Proxy, clock,
        directory::Row,
        message::{WatchDutyReply, path},
        peer_link::{Link, LinkError},
    },
    rows::MemberKey,
};

/// The mean pause between two questions to the proxy before this one.
const ASK_INTERVAL: Duration = Duration::from_millis(200);
/// The pause while this proxy watches because no proxy before it did; the questions go over new connections then.
const STAND_IN_ASK_INTERVAL: Duration = Duration::from_secs(1);
/// How long the proxy before this one may take to answer on its link before others are asked, too.
const LINK_ANSWER_TIMEOUT: Duration = Duration::from_millis(100);
/// The same for a while after the others have said that there was no need to ask them.
const PATIENT_ANSWER_TIMEOUT: Duration = Duration::from_millis(400);
/// How long `PATIENT_ANSWER_TIMEOUT` applies.
const PATIENT_FOR: Duration = Duration::from_secs(2);
/// How long all proxies before this one may take to answer on new connections.
const ASK_TIMEOUT: Duration = Duration::from_millis(250);
/// The most proxies that are asked on new connections: the first by rank.
const MAX_ASKED: usize = 12;
/// A question that took longer than its time-out by this shows that this process itself was held up.
const MAX_DELAY: Duration = Duration::from_millis(100);

impl Proxy {
    /// Has this proxy watch the store while no proxy before it in rank watches or stands by. Never returns.
    pub(super) async fn follow_predecessors(self: Rc<Self>) {
        self.wait_for_members().await;
        let mut false_alarm_at = None;
        loop {
            self.stands_by.set(true);
            let pause = if self.stands_in.get() { STAND_IN_ASK_INTERVAL } else { ASK_INTERVAL };
            sleep(pause.mul_f64(rand::rng().random_range(0.9..1.1))).await;
            let predecessors = self.watch_predecessors();
            if predecessors.is_empty() {
                self.watch_predecessor.set(None);
                self.set_stands_in(false);
                continue;
            }
            let patient = false_alarm_at.is_some_and(|it| clock::now() < it + PATIENT_FOR);
            let patience = if patient { PATIENT_ANSWER_TIMEOUT } else { LINK_ANSWER_TIMEOUT };
            if !self.stands_in.get() && self.predecessor_is_on_duty(&predecessors, patience).await {
                continue;
            }
            let asked_at = clock::now();
            match self.find_predecessor_on_duty(&predecessors).await {
                Some(it) => {
                    self.watch_predecessor.set(Some(it));
                    self.set_stands_in(false);
                    false_alarm_at = Some(clock::now());
                }
                None if clock::now() > asked_at + ASK_TIMEOUT + MAX_DELAY => (),
                None => self.set_stands_in(true),
            }
        }
    }

    fn set_stands_in(&self, stands_in: bool) {
        if self.stands_in.replace(stands_in) != stands_in {
            self.watch_duty_changed.notify_one();
        }
    }

    /// What this proxy does for the watch of the store, for a peer that asks.
    pub(super) fn watch_duty(&self) -> WatchDutyReply {
        let duty = match (self.watching.get(), self.stands_by.get()) {
            (true, _) => WatchDuty::Watches,
            (false, true) if !self.watch_predecessors().is_empty() => WatchDuty::StandsBy,
            (false, _) => WatchDuty::None,
        };
        WatchDutyReply { duty, version: self.version() }
    }

    /// The proxies of this data centre before this one in rank, the first in rank first; empty if this one is a watcher
    /// by its rank.
    fn watch_predecessors(&self) -> Vec<MemberKey> {
        let mut directory = self.directory.borrow_mut();
        let data_centres = directory.data_centre_count();
        let data_centre = &directory.own().data_centre;
        let local_members = directory.members().filter(|it| it.1.data_centre == *data_centre).map(|it| it.0);
        watchers::watch_predecessors(directory.own_key(), local_members, data_centres)
    }

    /// Whether the proxy that this one follows says on its link that it watches or stands by.
    async fn predecessor_is_on_duty(self: &Rc<Self>, predecessors: &[MemberKey], patience: Duration) -> bool {
        let followed = self.watch_predecessor.get().filter(|it| predecessors.contains(it));
        let Some(key) = followed.or(predecessors.last().copied()) else { return false };
        self.watch_predecessor.set(Some(key));
        let link = self.links.borrow().iter().find(|it| it.1.key == key).map(|it| Rc::clone(&it.1));
        let Some(link) = link.filter(|it| it.is_connected()) else { return false };
        timeout(patience, self.ask_duty(&link)).await.is_ok_and(WatchDuty::is_on_duty)
    }

    /// Asks proxies before this one on new connections, as open ones may be silent. Returns the first that says that it
    /// watches or stands by.
    async fn find_predecessor_on_duty(self: &Rc<Self>, predecessors: &[MemberKey]) -> Option<MemberKey> {
        let followed = self.watch_predecessor.get().filter(|it| predecessors.contains(it));
        let mut asked: Vec<MemberKey> = predecessors.iter().take(MAX_ASKED).copied().collect();
        asked.extend(followed.filter(|it| !asked.contains(it)));
        let mut answers: FuturesUnordered<_> = asked
            .into_iter()
            .map(async |it| self.ask_duty_on_new_connection(it).await.is_on_duty().then_some(it))
            .collect();
        let first_on_duty = async {
            while let Some(answer) = answers.next().await {
                if answer.is_some() {
                    return answer;
                }
            }
            None
        };
        timeout(ASK_TIMEOUT, first_on_duty).await.ok().flatten()
    }

    async fn ask_duty_on_new_connection(self: &Rc<Self>, key: MemberKey) -> WatchDuty {
        let row = self.directory.borrow().get_by_key(key).map(|it| Row::clone(it));
        let Some(row) = row else { return WatchDuty::None };
        match Link::open(&row).await {
            Ok((link, _connection)) => self.ask_duty(&link).await,
            Err(_) => WatchDuty::None,
        }
    }

    /// Asks a proxy what it does for the watch of the store, and starts to fetch its configuration if that is newer.
    async fn ask_duty(self: &Rc<Self>, link: &Link) -> WatchDuty {
        match link.call::<_, WatchDutyReply>(path::WATCH_DUTY, &()).await {
            Ok(it) => {
                link.note_version(it.version);
                self.fetch_config((it.version, link.key));
                it.duty
            }
            // A proxy of an earlier release is there, and watches if its rank says so.
            Err(LinkError::Refused(StatusCode::NOT_FOUND)) => WatchDuty::Watches,
            Err(_) => WatchDuty::None,
        }
    }
}
