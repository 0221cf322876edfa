//! What proxies tell each other of themselves, of others, and of new configurations.
//!
//! A proxy tells those it is linked to when its endpoint or the endpoint's standing changes. Rows of others come round by
//! an exchange with one linked proxy a second, which is all that depends on the size of the fleet.

use std::{rc::Rc, time::Duration};

use rand::{RngExt as _, seq::IndexedRandom as _};
use tokio::{task::spawn_local, time::sleep};

use crate::{
    platform::ParsedConfig,
    proxy::{
        Proxy, clock,
        directory::{Brief, Current, Row},
        events::Event,
        message::{Deliver, Delivered, Hello, News, Summary, Welcome, path},
        peer::Link,
    },
    rows::{Compare, Compared, Stamp},
};

/// Changes of our row are gathered this long.
pub(super) const GATHER: Duration = Duration::from_millis(20);
/// How long a greeting, or a step of an exchange, may take.
pub(super) const HELLO_TIMEOUT: Duration = Duration::from_secs(2);
/// How long a whole configuration may take from a peer: half of the time in which it must be in force,
/// so that another peer can be asked.
const CONFIG_TIMEOUT: Duration = Duration::from_secs(1);
/// How many peers a new version is told to at once by each that has it: all but 2 in 100 hear of it so, the rest with
/// the next request or exchange.
const RELAYS: usize = 4;
/// The pause between exchanges of rows: a change is known to hundreds in about six rounds.
const EXCHANGE_EVERY: Duration = Duration::from_secs(1);
/// The pause while the directory has just begun to fill.
const EXCHANGE_EARLY: Duration = Duration::from_millis(300);
/// For how long it fills.
const EARLY: Duration = Duration::from_secs(3);
/// The part of the exchanges that stay in the data centre, where bytes cost nothing.
const NEAR_PART: f64 = 0.8;
/// The part of the exchanges that go to a proxy that is held to be down: two halves of a fleet that held each other to be
/// down find together so.
const DOWN_PART: f64 = 0.1;

impl Proxy {
    /// What of this proxy changes often.
    fn current(&self) -> Current {
        Current { version: self.version(), turns: self.endpoint_changes.get(), standing: self.guard.standing() }
    }

    /// [`Self::current`] with whose it is.
    pub(super) fn brief(&self) -> Brief {
        Brief { name: self.name.clone(), stamp: self.directory.borrow().own().stamp, current: self.current() }
    }

    fn row(&self) -> Row {
        Row::clone(self.directory.borrow().own())
    }

    /// Takes in what a peer told with a reply.
    pub(super) fn take_news(self: &Rc<Self>, news: News) {
        let News { brief, running, waiting, allowance_used } = news;
        if let Some(link) = self.link(&brief.name) {
            link.told(running + waiting, clock::now());
            let service = self.directory.borrow().by_key(link.key).map(|it| it.endpoints.service.clone());
            if let Some(it) = service {
                self.note_allowance(&it, allowance_used);
            }
        }
        self.take_brief(&brief);
    }

    /// Takes in what of a peer changes often.
    pub(super) fn take_brief(self: &Rc<Self>, brief: &Brief) {
        let Some(link) = self.link(&brief.name) else { return };
        self.take_current(&brief.name, &link, brief.stamp, brief.current);
        let known = self.directory.borrow().by_key(link.key).map(|it| it.stamp);
        if known.is_none_or(|it| it < brief.stamp) {
            link.greet_fully();
        }
    }

    fn take_current(self: &Rc<Self>, name: &str, link: &Rc<Link>, stamp: Stamp, current: Current) {
        if link.take_standing(stamp, current) {
            self.events.emit(&Event::Row {
                peer: name,
                sequence: stamp.sequence,
                endpoint: None,
                service: None,
                standing: current.standing,
            });
        }
        if current.version > self.version() {
            self.fetch_config(link);
        }
    }

    /// Takes in rows, and acts on what is new.
    pub(super) fn take_rows(self: &Rc<Self>, rows: Vec<Row>) {
        let news = self.directory.borrow_mut().merge_all(rows, clock::now());
        self.took_rows(&news);
    }

    /// Acts on rows that were news.
    pub(super) fn took_rows(self: &Rc<Self>, news: &[Row]) {
        if news.is_empty() {
            return;
        }
        metrics::counter!("jayreach_rows_taken_total").increment(news.len() as u64);
        for row in news {
            if row.daemon == self.name {
                self.greet_all();
            } else if let Some(link) = self.link(&row.daemon) {
                self.events.emit(&Event::Row {
                    peer: &row.daemon,
                    sequence: row.stamp.sequence,
                    endpoint: row.endpoints.endpoint.as_ref().map(|it| &*it.id.name),
                    service: Some(&row.endpoints.service),
                    standing: link.standing(),
                });
            }
        }
        self.members_changed.notify_one();
    }

    /// Says hello at once, and whenever there is something new to say.
    pub(super) async fn keep_greeting(self: &Rc<Self>, link: &Rc<Link>) {
        link.greet_fully();
        loop {
            let fully = link.greeting().await;
            sleep(GATHER).await;
            if fully {
                let hello = Hello { row: self.row(), current: self.current(), chosen: link.chosen.get() };
                if let Some(it) = link.call_within::<_, Welcome>(HELLO_TIMEOUT, path::HELLO, &hello).await {
                    self.take_welcome(link, it);
                }
            } else {
                // What is lost here is told with the next reply, or the next hello.
                _ = link.call_within::<_, ()>(HELLO_TIMEOUT, path::BRIEF, &self.brief()).await;
            }
        }
    }

    fn take_welcome(self: &Rc<Self>, link: &Rc<Link>, welcome: Welcome) {
        let Welcome { row, current, newer } = welcome;
        let (name, stamp) = (row.daemon.clone(), row.stamp);
        self.take_rows([row].into_iter().chain(newer).collect());
        self.take_current(&name, link, stamp, current);
    }

    /// Answers a peer's hello, and links back to one that chose this proxy.
    pub(super) fn welcome(self: &Rc<Self>, hello: Hello) -> Welcome {
        let Hello { row, current, chosen } = hello;
        let (name, stamp) = (row.daemon.clone(), row.stamp);
        if chosen {
            self.link_to(&row).wanted.set(true);
        }
        self.take_rows(vec![row]);
        if let Some(link) = self.link(&name) {
            link.wanted.set(chosen);
            self.take_current(&name, &link, stamp, current);
        }
        let known = self.directory.borrow().get(&name).filter(|it| it.stamp > stamp).map(|it| Row::clone(it));
        Welcome { row: self.row(), current: self.current(), newer: known }
    }

    /// Tells linked peers when this proxy's row changes, or its endpoint's standing.
    pub(super) async fn tell_changes(self: Rc<Self>) {
        loop {
            tokio::select! {
                () = self.guard.changed.notified() => {
                    self.endpoint_changes.set(self.endpoint_changes.get() + 1);
                    let endpoint = self.guard.endpoint_row();
                    self.directory.borrow_mut().edit_own(clock::now(), |it| it.endpoints.endpoint = endpoint);
                    self.greet_all();
                }
                () = self.guard.turned.notified() => {
                    self.endpoint_changes.set(self.endpoint_changes.get() + 1);
                    self.links.borrow().iter().for_each(|it| it.1.greet_briefly());
                }
            }
        }
    }

    /// Has this proxy's row told to all linked peers.
    pub(super) fn greet_all(&self) {
        self.links.borrow().iter().for_each(|it| it.1.greet_fully());
    }

    /// Exchanges rows with another proxy from time to time.
    pub(super) async fn keep_exchanging(self: Rc<Self>) {
        let start = clock::now();
        loop {
            let early = clock::now().saturating_duration_since(start) < EARLY;
            let pause = if early { EXCHANGE_EARLY } else { EXCHANGE_EVERY };
            sleep(pause.mul_f64(rand::rng().random_range(0.7..1.3))).await;
            self.directory.borrow_mut().forget(clock::now());
            self.guard.forget_cases();
            if rand::rng().random_bool(DOWN_PART) {
                self.try_down().await;
            } else if let Some((_, link)) = self.any_link_but("", rand::rng().random_bool(NEAR_PART)) {
                self.exchange(&link).await;
            }
        }
    }

    /// Tries a proxy that is held to be down.
    async fn try_down(self: &Rc<Self>) {
        let row = self.directory.borrow().down().collect::<Vec<_>>().choose(&mut rand::rng()).map(|it| Row::clone(it));
        let Some(row) = row else { return };
        // One that is down in truth is not news.
        let Ok((link, _connected)) = Link::open(&row).await else { return };
        self.exchange(&link).await;
    }

    /// Compares directories with a peer, and evens out what differs.
    async fn exchange(self: &Rc<Self>, link: &Rc<Link>) {
        let Some(theirs) = link.call_within::<_, Summary>(HELLO_TIMEOUT, path::SUMMARY, &self.summary()).await else {
            return;
        };
        self.take_summary(theirs, link);
        self.sync_cases(theirs.cases, link).await;
        if theirs.digest == self.directory.borrow().digest() {
            return;
        }
        let compare = self.directory.borrow().compare(self.version());
        let Some(compared) = link.call_within::<_, Compared>(HELLO_TIMEOUT, path::COMPARE, &compare).await else {
            return;
        };
        let Some(deliver) = compared.follow_up(self.directory.borrow().table()) else { return };
        if let Some(it) = link.call_within::<_, Delivered>(HELLO_TIMEOUT, path::DELIVER, &deliver).await {
            self.take_rows(it.rows);
        }
    }

    fn summary(&self) -> Summary {
        Summary {
            digest: self.directory.borrow().digest(),
            version: self.version(),
            confirmed_ago: self.confirmed_ago(),
            cases: self.guard.cases_digest(),
            era: self.store.era(),
        }
    }

    /// Takes in what a peer says of the configuration.
    fn take_summary(self: &Rc<Self>, theirs: Summary, link: &Rc<Link>) {
        if theirs.version > self.version() {
            self.fetch_config(link);
        }
        self.take_confirmation(theirs);
    }

    /// Takes in how long ago the store confirmed the version in force, if a peer speaks of that one.
    fn take_confirmation(&self, theirs: Summary) {
        if let Some(it) = theirs.era {
            self.store.note_era(it);
        }
        if theirs.version == self.version()
            && let Some(it) = theirs.confirmed_ago
        {
            self.confirm(it);
        }
    }

    /// Answers the opening of an exchange.
    pub(super) fn summarize(&self, theirs: Summary) -> Summary {
        self.take_confirmation(theirs);
        self.summary()
    }

    /// Answers with the stamps of what differs.
    pub(super) fn compare(&self, compare: &Compare) -> Compared {
        self.directory.borrow().compared(compare, self.version())
    }

    /// Takes rows in, and answers with those that the caller lacks.
    pub(super) fn deliver(self: &Rc<Self>, deliver: Deliver) -> Delivered {
        let (delivered, news) = self.directory.borrow_mut().deliver(deliver, clock::now());
        self.took_rows(&news);
        delivered
    }

    /// Tells a few peers of each new version; they tell a few others.
    pub(super) async fn relay_versions(self: Rc<Self>) {
        loop {
            self.config_changed.notified().await;
            let links = self.links.borrow();
            let connected: Vec<_> = links.iter().filter(|it| it.1.is_connected()).collect();
            connected.sample(&mut rand::rng(), RELAYS).for_each(|it| it.1.greet_briefly());
        }
    }

    /// Fetches the configuration from a peer that has a newer one.
    pub(super) fn fetch_config(self: &Rc<Self>, link: &Rc<Link>) {
        // Many messages tell of a new version; one fetch is enough.
        if self.fetching_config.replace(true) {
            return;
        }
        let (proxy, link) = (Rc::clone(self), Rc::clone(link));
        spawn_local(async move {
            let known = proxy.version();
            if let Some(Some(it)) =
                link.call_within::<_, Option<ParsedConfig>>(CONFIG_TIMEOUT, path::CONFIG, &known).await
            {
                proxy.activate_config(it, "peer");
            }
            proxy.fetching_config.set(false);
        });
    }
}
