//! Finds a proxy that reaches the store when watchers don't.
//!
//! A watcher that lost the store asks more and more proxies to read it, until one can. That one activates and announces
//! what it read, and watches as a substitute.

use std::{rc::Rc, time::Duration};

use futures_util::{StreamExt as _, stream::FuturesUnordered};
use tokio::time::{Instant, sleep, timeout, timeout_at};

use crate::{
    decide::{
        store_search::{self, SearchCandidate},
        watchers::{self, SUBSTITUTED_SEARCH_INTERVAL},
    },
    platform::Consistency,
    proxy::{
        Proxy, clock,
        directory::{ProxyName, Row},
        events::Event,
        message::path,
        net::AbortOnDropTask,
        peer_link::Link,
    },
    rows::MemberKey,
};

/// How long the store may take to answer a proxy that was asked to read it.
const READ_TIMEOUT: Duration = Duration::from_millis(1_000);
/// How long a peer may take to tell what the store answered.
const ASK_TIMEOUT: Duration = Duration::from_millis(1_300);

impl Proxy {
    /// Records that the store answered this watcher, which ends its search.
    pub(super) fn store_answered(&self) {
        self.update_reachability(true);
        self.store_search.take();
    }

    /// Records that the store refused a call of this watcher or did not answer it, and starts a search unless one is
    /// under way.
    pub(super) fn store_lost(self: &Rc<Self>) {
        self.update_reachability(false);
        let mut search = self.store_search.borrow_mut();
        if search.is_none() {
            *search = Some(AbortOnDropTask::spawn(Rc::clone(self).search_until_dropped()));
        }
    }

    fn update_reachability(&self, answered: bool) {
        let (now, mut it) = (clock::now(), self.store_reachability.get());
        match answered {
            true => it.record_answer(now),
            false => it.record_failure(now),
        }
        self.store_reachability.set(it);
    }

    async fn search_until_dropped(self: Rc<Self>) {
        let mut fruitless = 0;
        loop {
            let pause = if self.search_once().await {
                fruitless = 0;
                SUBSTITUTED_SEARCH_INTERVAL
            } else {
                fruitless += 1;
                store_search::retry_interval(fruitless)
            };
            sleep(pause).await;
        }
    }

    /// Asks proxies in rounds until one reaches the store; returns whether one does.
    async fn search_once(self: &Rc<Self>) -> bool {
        let started = clock::now();
        let mut candidates = self.search_order().into_iter();
        let mut answers = FuturesUnordered::new();
        let (mut asked, mut found) = (0, None);
        for round in 0.. {
            let next: Vec<MemberKey> = candidates.by_ref().take(store_search::round_size(round)).collect();
            let is_last = next.is_empty();
            asked += next.len();
            answers.extend(next.into_iter().map(|it| self.ask_to_read_store(it)));
            let round_end = Instant::now() + if is_last { ASK_TIMEOUT } else { store_search::ROUND_INTERVAL };
            while let Ok(Some(answer)) = timeout_at(round_end, answers.next()).await {
                found = found.or(answer);
                if found.is_some() {
                    break;
                }
            }
            if found.is_some() || is_last {
                break;
            }
            // All may have answered before the round's end.
            tokio::time::sleep_until(round_end).await;
        }
        let took_ms = clock::now().saturating_duration_since(started).as_millis();
        self.events.emit(&Event::Substitute { found: found.as_deref(), asked, took_ms });
        let result = if found.is_some() { "found" } else { "none" };
        metrics::counter!("jayreach_substitutes_total", "result" => result).increment(1);
        found.is_some()
    }

    /// The keys of the fleet's watchers.
    pub(super) fn watcher_keys(&self) -> Vec<MemberKey> {
        let directory = self.directory.borrow();
        let own = (&*directory.own().data_centre, directory.own_key());
        watchers::choose_watchers(directory.members().map(|it| (&*it.1.data_centre, it.0)).chain([own]).collect())
    }

    fn search_order(&self) -> Vec<MemberKey> {
        let watchers = self.watcher_keys();
        let directory = self.directory.borrow();
        let candidates: Vec<SearchCandidate> = directory
            .members()
            .map(|(key, row)| SearchCandidate { key, linked: self.link(&row.name).is_some_and(|it| it.is_connected()) })
            .collect();
        store_search::search_order(directory.own_key(), &watchers, &candidates)
    }

    /// Asks a proxy to read the store. Returns its name if the store answered it.
    async fn ask_to_read_store(self: &Rc<Self>, key: MemberKey) -> Option<ProxyName> {
        let row = self.directory.borrow().get_by_key(key).map(|it| Row::clone(it))?;
        let ask = async |link: &Link| link.call_within::<_, bool>(ASK_TIMEOUT, path::WATCH, &()).await == Some(true);
        let reaches_store = match self.link(&row.name).filter(|it| it.is_connected()) {
            Some(link) => ask(&link).await,
            None => {
                let (link, _connection) = timeout(ASK_TIMEOUT, Link::open(&row)).await.ok()?.ok()?;
                ask(&link).await
            }
        };
        reaches_store.then_some(row.name)
    }

    /// Reads the store for a peer that lost it, unless a recent call tells whether it answers this proxy. If it does,
    /// this proxy becomes a substitute. Returns whether it does.
    pub(super) async fn read_store_for_peer(self: Rc<Self>) -> bool {
        // Peers that ask at the same time share one call.
        let _turn = self.store_read_turn.lock().await;
        let reaches_store = match self.store_reachability.get().current(clock::now()) {
            Some(it) => it,
            None => self.try_store().await,
        };
        if reaches_store {
            let mut substitution = self.substitution.get();
            substitution.start(clock::now());
            self.substitution.set(substitution);
        }
        reaches_store
    }

    /// Reads the configuration from the store; returns whether it answered.
    async fn try_store(&self) -> bool {
        let requested_at = clock::now();
        let result = timeout(READ_TIMEOUT, self.store.read_config(Consistency::Linearizable)).await;
        let answered = matches!(result, Ok(Ok(_)));
        let result_label = if answered { "answered" } else { "failed" };
        metrics::counter!("jayreach_store_reads_for_peers_total", "result" => result_label).increment(1);
        if let Ok(Ok(it)) = result {
            self.apply_config(it);
            self.record_confirmation(clock::now().saturating_duration_since(requested_at));
        }
        self.update_reachability(answered);
        answered
    }
}
