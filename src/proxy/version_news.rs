//! Spreads new configuration versions: each proxy tells a few peers, which fetch the configuration and do the same.
//!
//! A link whose path was lost without an error looks open until a call on it fails, which takes longer than a change may
//! take. So calls that carry the news move to a new connection after a short time.

use std::{cmp::Reverse, pin::pin, rc::Rc, time::Duration};

use futures_util::future::join_all;
use rand::seq::IndexedRandom as _;
use serde::{Serialize, de::DeserializeOwned};
use tokio::{
    select,
    task::spawn_local,
    time::{sleep, timeout},
};

use crate::{
    platform::ParsedConfig,
    proxy::{
        Proxy, clock,
        gossip::PEER_CALL_TIMEOUT,
        message::{VersionNews, path},
        peer_link::Link,
        routes::Version,
    },
    rows::{MemberKey, member_key},
};

/// How long fetching a configuration from a peer may take. It must be active within two seconds, so another peer can be
/// asked in time.
const CONFIG_FETCH_TIMEOUT: Duration = Duration::from_secs(1);
/// How many peers each proxy tells at once, and later again of those that may not know yet. Once alone reaches all but 2
/// in 100 proxies.
const FANOUT: usize = 4;
/// When peers that may not know the version yet are told.
const SECOND_ROUND_DELAY: Duration = Duration::from_millis(300);
/// How long a peer may take to answer on its link before a new connection is opened.
const LINK_ANSWER_TIMEOUT: Duration = Duration::from_millis(200);
/// How long links aren't used for news after most of them gave no answer: until their own probes have replaced them.
const SILENT_LINKS_AVOIDED: Duration = Duration::from_secs(3);
/// The most offers of a configuration that are kept while another one is fetched.
const MAX_OFFERS: usize = 8;

/// A peer that has a version of the configuration.
pub(super) type ConfigOffer = (Version, MemberKey);

impl Proxy {
    /// Announces each newly activated version. Never returns.
    pub(super) async fn announce_versions(self: Rc<Self>) {
        loop {
            self.config_changed.notified().await;
            spawn_local(Rc::clone(&self).announce_version(self.version()));
        }
    }

    async fn announce_version(self: Rc<Self>, version: Version) {
        let peers = self.sample_links(|_| true);
        self.tell_peers(version, &peers).await;
        sleep(SECOND_ROUND_DELAY).await;
        if version == self.version() {
            let peers = self.sample_links(|it| it.known_version() < version);
            self.tell_peers(version, &peers).await;
        }
    }

    fn sample_links(&self, filter: impl Fn(&Link) -> bool) -> Vec<Rc<Link>> {
        let links = self.links.borrow();
        let matching: Vec<_> = links.iter().map(|it| &it.1).filter(|it| it.is_connected() && filter(it)).collect();
        matching.sample(&mut rand::rng(), FANOUT).map(|it| Rc::clone(it)).collect()
    }

    /// Tells peers on their links, and those that don't answer there on new connections.
    async fn tell_peers(self: &Rc<Self>, version: Version, peers: &[Rc<Link>]) {
        let mut unanswered = peers.to_vec();
        if !self.links_seem_silent() {
            let update = self.status_update();
            let tell = async |link: &Rc<Link>| {
                let answer = timeout(LINK_ANSWER_TIMEOUT, link.call::<_, ()>(path::BRIEF, &update)).await;
                let answered = matches!(answer, Ok(Ok(())));
                if answered {
                    link.note_version(version);
                }
                answered
            };
            let answered = join_all(peers.iter().map(tell)).await;
            unanswered = peers.iter().zip(answered).filter(|it| !it.1).map(|it| Rc::clone(it.0)).collect();
            if unanswered.len() > peers.len() / 2 {
                self.avoid_links();
            }
        }
        let news = VersionNews { name: self.name.clone(), version, links_seem_silent: self.links_seem_silent() };
        for link in unanswered {
            spawn_local(Rc::clone(self).tell_on_new_connection(link, news.clone()));
        }
    }

    async fn tell_on_new_connection(self: Rc<Self>, link: Rc<Link>, news: VersionNews) {
        let answer: Option<()> = self.call_on_new_connection(link.key, path::NEWS, &news, PEER_CALL_TIMEOUT).await;
        if answer.is_some() {
            link.note_version(news.version);
        }
    }

    /// Handles a peer's news, which came on a new connection.
    pub(super) fn apply_version_news(self: &Rc<Self>, news: &VersionNews) {
        if news.links_seem_silent {
            self.avoid_links();
        }
        self.fetch_config((news.version, member_key(&news.name)));
    }

    /// Sends news on new connections for a while, as links may be silent.
    pub(super) fn avoid_links(&self) {
        self.links_avoided_until.set(Some(clock::now() + SILENT_LINKS_AVOIDED));
    }

    fn links_seem_silent(&self) -> bool {
        self.links_avoided_until.get().is_some_and(|it| clock::now() < it)
    }

    /// Starts to fetch a version from a peer if it is newer than the active one.
    pub(super) fn fetch_config(self: &Rc<Self>, offer: ConfigOffer) {
        if offer.0 <= self.version() {
            return;
        }
        {
            let mut offers = self.config_offers.borrow_mut();
            if offers.len() < MAX_OFFERS && !offers.contains(&offer) {
                offers.push(offer);
            }
        }
        // Many peers announce a new version at once; one fetch at a time is enough.
        if !self.fetching_config.replace(true) {
            spawn_local(Rc::clone(self).fetch_offered_configs());
        }
    }

    async fn fetch_offered_configs(self: Rc<Self>) {
        while let Some((version, peer)) = self.next_offer() {
            let known = self.version();
            let fetch = self.call_in_time::<_, Option<ParsedConfig>>(peer, path::CONFIG, &known);
            match timeout(CONFIG_FETCH_TIMEOUT, fetch).await {
                Ok(Some(Some(it))) => self.activate_config(it, "peer"),
                _ => log::debug!("fetching version {version} from a peer failed"),
            }
        }
        self.fetching_config.set(false);
    }

    /// Removes and returns the newest offer of a version that isn't active yet.
    fn next_offer(&self) -> Option<ConfigOffer> {
        let mut offers = self.config_offers.borrow_mut();
        let active = self.version();
        offers.retain(|it| it.0 > active);
        let newest = (0..offers.len()).max_by_key(|at| (offers[*at].0, Reverse(*at)))?;
        Some(offers.remove(newest))
    }

    /// Calls a peer on its link, and on a new connection if there is no answer soon.
    async fn call_in_time<Req: Serialize, Resp: DeserializeOwned>(
        &self,
        peer: MemberKey,
        path: &'static str,
        req: &Req,
    ) -> Option<Resp> {
        let link = self.links.borrow().iter().find(|it| it.1.key == peer).map(|it| Rc::clone(&it.1));
        let on_new_connection = self.call_on_new_connection(peer, path, req, CONFIG_FETCH_TIMEOUT);
        let Some(link) = link.filter(|it| it.is_connected() && !self.links_seem_silent()) else {
            return on_new_connection.await;
        };
        let mut on_link = pin!(link.call(path, req));
        match timeout(LINK_ANSWER_TIMEOUT, &mut on_link).await {
            Ok(Ok(it)) => Some(it),
            Ok(Err(_)) => on_new_connection.await,
            Err(_) => select! {
                Ok(it) = on_link => Some(it),
                Some(it) = on_new_connection => Some(it),
                else => None,
            },
        }
    }

    async fn call_on_new_connection<Req: Serialize, Resp: DeserializeOwned>(
        &self,
        peer: MemberKey,
        path: &'static str,
        req: &Req,
        limit: Duration,
    ) -> Option<Resp> {
        let row = self.directory.borrow().get_by_key(peer).cloned()?;
        let (link, _connection) = timeout(limit, Link::open(&row)).await.ok()?.ok()?;
        link.call_within(limit, path, req).await
    }
}
