//! The memory for bodies: room is taken before a body is read, and given back when its last byte has been passed on.

use std::{
    future::Future,
    sync::{Arc, Mutex},
};

use hyper::body::Bytes;
use tokio::sync::{Notify, oneshot};

use crate::{
    decide::body_pool::{BodyId, BodyLength, BodyPool, RoomResult, WaitLimit},
    proxy::client::MAX_RESPONSE_BYTES,
    util::lock,
};

/// Bodies up to this length have room of their own, so that they never wait behind long ones.
pub(super) const SMALL_BODY: usize = 64 << 10;
/// The most memory of a process whose settings don't say it, in bytes. A body of 64 MiB fits into a pool.
const DEFAULT_MEMORY: usize = 260_000_000;
/// The least length of the first part of an answer, in bytes. As many fit into their pool as a process has connections.
const LEAST_FIRST_PART: usize = 4 << 10;
/// Memory that the program needs for all but bodies, in bytes: connections, state and messages.
const OTHER_MEMORY: usize = 50_000_000;
/// The maximum number of request bodies that wait for room; more are refused.
const MAX_WAITING: usize = 32;

/// The memory of a process whose settings don't say it, in bytes: at most that of the machine.
pub(super) fn default_process_memory() -> usize {
    let machine = rustix::system::sysinfo();
    let bytes = (machine.totalram as usize).saturating_mul(machine.mem_unit as usize);
    DEFAULT_MEMORY.min(bytes)
}

/// There is no room for a body, and too many others wait for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct NoRoom;

/// The memory for the bodies of one proxy. A body needs room in the order of these fields and holds what it has while it
/// waits for the next, so no two bodies wait for each other, also across proxies.
pub(super) struct BodyMemory {
    /// For requests at their ingress, until they are answered.
    pub(super) requests: BodyRoom,
    /// For the first part of the answer of another proxy's endpoint.
    pub(super) first_parts: SharedPool,
    /// For the answers of this VM's endpoint, until they have been passed on.
    pub(super) answers: BodyRoom,
    /// For further parts of the answer of another proxy's endpoint.
    pub(super) parts: SharedPool,
}

impl BodyMemory {
    /// Divides the memory that a process may use, in bytes.
    pub(super) fn new(process_memory: usize) -> Self {
        let total = process_memory.saturating_sub(OTHER_MEMORY);
        let share = |percent: usize| total / 100 * percent;
        let queue = WaitLimit { bodies: MAX_WAITING, bytes: share(40) };
        Self {
            requests: BodyRoom::new(share(40), queue),
            first_parts: SharedPool::new(share(8), WaitLimit::NONE),
            answers: BodyRoom::new(share(40), WaitLimit::NONE),
            parts: SharedPool::new(share(12), WaitLimit::NONE),
        }
    }

    /// Writes the metrics.
    pub(super) fn report(&self) {
        let pools = [
            ("small requests", &self.requests.small),
            ("large requests", &self.requests.large),
            ("first parts", &self.first_parts),
            ("small answers", &self.answers.small),
            ("large answers", &self.answers.large),
            ("further parts", &self.parts),
        ];
        for (name, pool) in pools {
            pool.report(name);
        }
    }
}

/// Room for the bodies of one direction; short ones have a part of their own.
pub(super) struct BodyRoom {
    pub(super) small: SharedPool,
    pub(super) large: SharedPool,
}

impl BodyRoom {
    fn new(capacity: usize, queue: WaitLimit) -> Self {
        let small = capacity / 10;
        Self { small: SharedPool::new(small, queue), large: SharedPool::new(capacity - small, queue) }
    }

    /// Waits for room for a short body, which may use that of the long ones while none of them waits.
    pub(super) async fn take_small(&self, bytes: usize) -> Result<Room, NoRoom> {
        if !self.small.has_room(bytes) && self.large.has_room(bytes) {
            return self.large.take(bytes).await;
        }
        self.small.take(bytes).await
    }

    /// Waits until a body waits for room.
    pub(super) async fn wait_until_wanted(&self) {
        tokio::select! {
            () = self.small.wait_until_wanted() => (),
            () = self.large.wait_until_wanted() => (),
        }
    }

    /// The longest body for which there can be room, in bytes.
    pub(super) fn max_body(&self) -> usize {
        self.large.max_body()
    }
}

struct PoolState {
    pool: BodyPool,
    /// The reply channels of the waiting bodies, with the bytes that they wait for.
    waiters: Vec<(BodyId, usize, oneshot::Sender<Room>)>,
    last_id: BodyId,
    /// The most bytes that were in use at once.
    peak: usize,
    refused: u64,
}

struct Shared {
    state: Mutex<PoolState>,
    /// Notified when a body begins to wait.
    wanted: Notify,
}

/// A pool of memory whose clones share it.
#[derive(Clone)]
pub(super) struct SharedPool(Arc<Shared>);

impl SharedPool {
    pub(super) fn new(capacity: usize, queue: WaitLimit) -> Self {
        let pool = BodyPool::new(capacity, MAX_RESPONSE_BYTES, queue);
        let state = PoolState { pool, waiters: Vec::new(), last_id: 0, peak: 0, refused: 0 };
        Self(Arc::new(Shared { state: Mutex::new(state), wanted: Notify::new() }))
    }

    fn max_body(&self) -> usize {
        lock(&self.0.state).pool.max_body()
    }

    /// Waits for room for a body of known length. Dropping the future gives up the place in the queue.
    pub(super) async fn take(&self, bytes: usize) -> Result<Room, NoRoom> {
        let id = self.next_id();
        self.ask(id, bytes, BodyLength::Known).await
    }

    fn has_room(&self, bytes: usize) -> bool {
        lock(&self.0.state).pool.has_room(bytes)
    }

    /// Waits for room for the first part of an answer: much less of it once half of the pool is in use.
    pub(super) async fn take_first_part(&self) -> Result<Room, NoRoom> {
        let is_half_used = {
            let state = lock(&self.0.state);
            state.pool.used() > state.pool.capacity() / 2
        };
        self.take(if is_half_used { LEAST_FIRST_PART } else { SMALL_BODY }).await
    }

    /// Begins a body of unknown length.
    pub(super) fn begin_growing(&self) -> GrowingBody {
        GrowingBody { pool: self.clone(), id: self.next_id() }
    }

    /// Waits until a body waits for room.
    pub(super) async fn wait_until_wanted(&self) {
        while lock(&self.0.state).pool.waiting() == 0 {
            self.0.wanted.notified().await;
        }
    }

    fn next_id(&self) -> BodyId {
        let mut state = lock(&self.0.state);
        state.last_id += 1;
        state.last_id
    }

    fn ask(&self, id: BodyId, bytes: usize, length: BodyLength) -> impl Future<Output = Result<Room, NoRoom>> + use<> {
        let (tx, rx) = oneshot::channel();
        let mut turn = None;
        self.update(|state| match state.pool.ask(id, bytes, length) {
            // The receiver exists.
            RoomResult::Granted => _ = tx.send(Room { pool: self.clone(), bytes }),
            RoomResult::Waiting => {
                state.waiters.push((id, bytes, tx));
                turn = Some(WaitingTurn { pool: self.clone(), id });
            }
            RoomResult::Refused => state.refused += 1,
        });
        if turn.is_some() {
            self.0.wanted.notify_one();
        }
        async move {
            let _turn = turn;
            rx.await.map_err(|_| NoRoom)
        }
    }

    /// Changes the pool and hands out the room that this leaves.
    fn update(&self, change: impl FnOnce(&mut PoolState)) {
        let mut granted = Vec::new();
        let mut state = lock(&self.0.state);
        change(&mut state);
        while let Some(id) = state.pool.next_granted() {
            if let Some(at) = state.waiters.iter().position(|it| it.0 == id) {
                granted.push(state.waiters.swap_remove(at));
            }
        }
        state.note_peak();
        drop(state);
        for (_, bytes, tx) in granted {
            // Room for a waiter that has gone is given back by dropping it.
            _ = tx.send(Room { pool: self.clone(), bytes });
        }
    }

    fn report(&self, name: &'static str) {
        let state = lock(&self.0.state);
        metrics::gauge!("jayreach_body_bytes", "pool" => name).set(state.pool.used() as f64);
        metrics::gauge!("jayreach_body_bytes_peak", "pool" => name).set(state.peak as f64);
        metrics::gauge!("jayreach_body_bytes_max", "pool" => name).set(state.pool.capacity() as f64);
        metrics::gauge!("jayreach_bodies_waiting", "pool" => name).set(state.pool.waiting() as f64);
        metrics::counter!("jayreach_bodies_refused_total", "pool" => name).absolute(state.refused);
    }
}

impl PoolState {
    fn note_peak(&mut self) {
        self.peak = self.peak.max(self.pool.used());
    }
}

/// A place in the queue, left on drop.
struct WaitingTurn {
    pool: SharedPool,
    id: BodyId,
}

impl Drop for WaitingTurn {
    fn drop(&mut self) {
        self.pool.update(|it| {
            it.waiters.retain(|it| it.0 != self.id);
            it.pool.cancel(self.id);
        });
    }
}

/// A body of unknown length while it is read.
pub(super) struct GrowingBody {
    pool: SharedPool,
    id: BodyId,
}

impl GrowingBody {
    /// Waits for room for the next `bytes`.
    pub(super) async fn grow(&self, bytes: usize) -> Result<Room, NoRoom> {
        self.pool.ask(self.id, bytes, BodyLength::Unknown).await
    }
}

impl Drop for GrowingBody {
    fn drop(&mut self) {
        self.pool.update(|it| it.pool.finish(self.id));
    }
}

/// Room in a pool, given back on drop.
pub(super) struct Room {
    pool: SharedPool,
    bytes: usize,
}

impl Room {
    /// The size in bytes.
    pub(super) fn bytes(&self) -> usize {
        self.bytes
    }

    /// Takes `bytes` out of this room.
    pub(super) fn split(&mut self, bytes: usize) -> Self {
        assert!(bytes <= self.bytes, "room is split into parts of itself");
        self.bytes -= bytes;
        Self { pool: self.pool.clone(), bytes }
    }

    /// Turns `buf` into shared bytes, which keep the room of their length; the rest is given back.
    pub(super) fn fill(mut self, mut buf: Vec<u8>) -> Bytes {
        buf.shrink_to_fit();
        let used = buf.len().min(self.bytes);
        let room = self.split(used);
        Bytes::from_owner(FilledRoom { buf, _room: room })
    }
}

impl Drop for Room {
    fn drop(&mut self) {
        if self.bytes > 0 {
            self.pool.update(|it| it.pool.release(self.bytes));
        }
    }
}

struct FilledRoom {
    buf: Vec<u8>,
    _room: Room,
}

impl AsRef<[u8]> for FilledRoom {
    fn as_ref(&self) -> &[u8] {
        &self.buf
    }
}
