//! Keeping links to the other proxies open, and each other's rows known.

use std::{cell::Cell, net::SocketAddr, rc::Rc, time::Duration};

use rand::RngExt as _;
use tokio::{task::spawn_local, time::sleep};

use crate::proxy::{
    Proxy, clock,
    events::Event,
    message::{Hello, News, path},
    peer::Link,
    routes::Config,
    view::{Brief, Merged, ProxyName, Row, Source},
};

/// The first pause before a peer is tried again, and the longest: a proxy that was restarted while
/// the store is away learns all it knows from peers that try it.
const FIRST_PAUSE: Duration = Duration::from_millis(150);
const LONGEST_PAUSE: Duration = Duration::from_millis(1_500);
/// A peer that can't be reached for this long is forgotten; one that is back says hello itself.
const FORGET_AFTER: Duration = Duration::from_secs(40);
/// Changes of our row are gathered this long.
const GATHER: Duration = Duration::from_millis(20);
/// How long a greeting may take.
const HELLO_TIMEOUT: Duration = Duration::from_secs(2);
/// How long a whole configuration may take from a peer: half of the time in which it must be in force,
/// so that another peer can be asked.
const CONFIG_TIMEOUT: Duration = Duration::from_secs(1);
/// A new version is told to the next peers by name after this: by then those who watch the store
/// know it themselves.
const RELAY_AFTER: Duration = Duration::from_millis(300);
/// How many peers a new version is told to.
const RELAYS: usize = 2;

impl Proxy {
    /// Takes in what a peer told with a reply.
    pub(super) fn take_news(self: &Rc<Self>, news: News) {
        let News { brief, running, waiting, allowance_used } = news;
        let service =
            self.view.borrow().get(&brief.name).and_then(|it| it.endpoint.as_ref()).map(|it| it.service.clone());
        if let Some(service) = service {
            self.note_allowance(&service, allowance_used);
        }
        if let Some(link) = self.link(&brief.name) {
            link.told(running + waiting, clock::now());
        }
        self.take_brief(&brief);
    }

    /// Takes in the part of a row that changes often.
    pub(super) fn take_brief(self: &Rc<Self>, brief: &Brief) {
        let merged = self.view.borrow_mut().merge_brief(brief);
        match merged {
            Merged::Changed => self.events.emit(&Event::Row {
                peer: &brief.name,
                sequence: brief.sequence,
                endpoint: None,
                service: None,
                standing: brief.standing,
            }),
            Merged::Doubtful => self.ask_row(&brief.name),
            Merged::Known => (),
        }
        if brief.version > self.version() {
            self.fetch_config(&brief.name);
        }
    }

    /// Asks a proxy for its row, by telling it this one's.
    pub(super) fn ask_row(&self, name: &str) {
        if let Some(it) = self.link(name) {
            it.greet_fully();
        }
    }

    /// Takes in a row, and links to its owner if it is new.
    pub(super) fn take_row(self: &Rc<Self>, row: Row, source: Source) {
        if row.name == self.name {
            return;
        }
        let (name, peers, version) = (row.name.clone(), row.peers, row.version);
        let copy = row.clone();
        let merged = self.view.borrow_mut().merge(row, source);
        match merged {
            Merged::Changed => {
                self.events.emit(&Event::Row {
                    peer: &copy.name,
                    sequence: copy.sequence,
                    endpoint: copy.endpoint.as_ref().map(|it| &*it.id.name),
                    service: copy.endpoint.as_ref().map(|it| &*it.service),
                    standing: copy.standing(),
                });
                self.link_to(&name, peers);
            }
            // Its own answer settles which run is the newer one.
            Merged::Doubtful => self.ask_row(&name),
            Merged::Known => (),
        }
        if version > self.version() {
            self.fetch_config(&name);
        }
    }

    /// The link to the proxy `name`.
    pub(super) fn link(&self, name: &str) -> Option<Rc<Link>> {
        let links = self.links.borrow();
        let at = links.binary_search_by(|it| (*it.0).cmp(name)).ok()?;
        Some(Rc::clone(&links[at].1))
    }

    /// A link that is connected, to any proxy but `name`.
    pub(super) fn any_link_but(&self, name: &str) -> Option<(ProxyName, Rc<Link>)> {
        let links = self.links.borrow();
        let connected: Vec<_> = links.iter().filter(|it| *it.0 != *name && it.1.is_connected()).collect();
        if connected.is_empty() {
            return None;
        }
        let (name, link) = connected[rand::rng().random_range(0..connected.len())];
        Some((name.clone(), Rc::clone(link)))
    }

    /// Links to a proxy; one that moved is linked anew.
    pub(super) fn link_to(self: &Rc<Self>, name: &ProxyName, address: SocketAddr) {
        if *name == self.name {
            return;
        }
        let mut links = self.links.borrow_mut();
        let link = Rc::new(Link::new(address));
        match links.binary_search_by(|it| it.0.cmp(name)) {
            Ok(at) if links[at].1.address == address => return,
            Ok(at) => links[at].1 = Rc::clone(&link),
            Err(at) => links.insert(at, (name.clone(), Rc::clone(&link))),
        }
        drop(links);
        spawn_local(Rc::clone(self).keep_link(name.clone(), link));
    }

    /// Keeps a link open until its proxy is forgotten.
    async fn keep_link(self: Rc<Self>, name: ProxyName, link: Rc<Link>) {
        let mut pause = FIRST_PAUSE;
        let mut failing_since = clock::now();
        let was_up = Cell::new(false);
        while self.is_current(&name, &link) {
            match link.connect().await {
                Ok(connected) => {
                    if !was_up.replace(true) {
                        self.events.emit(&Event::Peer { peer: &name, reachable: true, why: "connected" });
                    }
                    tokio::select! {
                        () = self.keep_greeting(&link) => (),
                        () = connected.ended() => (),
                    }
                    pause = FIRST_PAUSE;
                    failing_since = clock::now();
                }
                Err(error) => {
                    if was_up.replace(false) {
                        let why = error.to_string();
                        self.events.emit(&Event::Peer { peer: &name, reachable: false, why: &why });
                    }
                    pause = (pause * 2).min(LONGEST_PAUSE);
                }
            }
            if clock::now().saturating_duration_since(failing_since) > FORGET_AFTER {
                self.forget(&name, &link);
                return;
            }
            sleep(pause.mul_f64(rand::rng().random_range(0.7..1.3))).await;
        }
    }

    fn is_current(&self, name: &str, link: &Rc<Link>) -> bool {
        self.link(name).is_some_and(|it| Rc::ptr_eq(&it, link))
    }

    fn forget(&self, name: &str, link: &Rc<Link>) {
        self.events.emit(&Event::Peer { peer: name, reachable: false, why: "forgotten" });
        self.links.borrow_mut().retain(|it| !Rc::ptr_eq(&it.1, link));
        self.view.borrow_mut().remove(name);
    }

    /// Says hello at once, and whenever there is something new to say.
    async fn keep_greeting(self: &Rc<Self>, link: &Rc<Link>) {
        link.greet_fully();
        loop {
            let fully = link.greeting().await;
            sleep(GATHER).await;
            if fully {
                let hello = Hello { row: self.row() };
                if let Some(it) = link.call_within::<_, Hello>(HELLO_TIMEOUT, path::HELLO, &hello).await {
                    self.take_row(it.row, Source::Answered);
                }
            } else {
                let brief = self.row().brief();
                // What is lost here is told with the next reply, or the next hello.
                _ = link.call_within::<_, ()>(HELLO_TIMEOUT, path::BRIEF, &brief).await;
            }
        }
    }

    /// Tells every peer when this proxy's row changes.
    pub(super) async fn tell_changes(self: Rc<Self>) {
        loop {
            tokio::select! {
                () = self.guard.changed.notified() => {
                    self.sequence.set(self.sequence.get() + 1);
                    self.links.borrow().iter().for_each(|it| it.1.greet_fully());
                }
                () = self.guard.turned.notified() => {
                    self.turns.set(self.turns.get() + 1);
                    self.links.borrow().iter().for_each(|it| it.1.greet_briefly());
                }
            }
        }
    }

    /// Tells a few peers of each new version, in case they can't reach the store.
    pub(super) async fn relay_versions(self: Rc<Self>) {
        loop {
            self.config_changed.notified().await;
            sleep(RELAY_AFTER).await;
            let links = self.links.borrow();
            let next = links.partition_point(|it| it.0 < self.name);
            for (_, link) in links.iter().cycle().skip(next).take(RELAYS.min(links.len())) {
                link.greet_fully();
            }
        }
    }

    /// Fetches the configuration from a peer that has a newer one.
    fn fetch_config(self: &Rc<Self>, name: &str) {
        let Some(link) = self.link(name) else { return };
        // Many messages tell of a new version; one fetch is enough.
        if self.fetching.replace(true) {
            return;
        }
        let proxy = Rc::clone(self);
        spawn_local(async move {
            let known = proxy.version();
            if let Some(Some(it)) = link.call_within::<_, Option<Config>>(CONFIG_TIMEOUT, path::CONFIG, &known).await {
                proxy.put_in_force(it, "peer");
            }
            proxy.fetching.set(false);
        });
    }
}
