//! Decides which bodies of requests and responses may be held in memory, so that no mix of them exceeds a fixed size
//! and none waits for ever for room.
//!
//! A body of known length gets room for all of it at once. A body of unknown length grows in steps, and two of them
//! could each wait for room that the other holds. So the oldest growing body can always reach the maximum length: the
//! others leave that much free.

use std::collections::VecDeque;

/// Identifies a body within its pool.
pub type BodyId = u64;

/// Whether the length of a body is known before it is read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyLength {
    /// The body asks for all its room at once.
    Known,
    /// The body asks for room in steps.
    Unknown,
}

/// The result of asking for room.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RoomResult {
    /// The room may be used.
    Granted,
    /// [`BodyPool::next_granted`] returns the body when the room may be used.
    Waiting,
    /// Too many bodies wait already, or the body is longer than the pool.
    Refused,
}

/// How much may wait for room.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WaitLimit {
    /// The maximum number of waiting bodies.
    pub bodies: usize,
    /// The maximum sum of the bytes that they wait for.
    pub bytes: usize,
}

impl WaitLimit {
    /// No limit.
    pub const NONE: Self = Self { bodies: usize::MAX, bytes: usize::MAX };
}

#[derive(Debug, Clone, Copy)]
struct WaitingBody {
    id: BodyId,
    bytes: usize,
    length: BodyLength,
}

/// Room for bodies, in bytes.
#[derive(Debug)]
pub struct BodyPool {
    capacity: usize,
    /// At most `capacity`.
    max_body: usize,
    wait_limit: WaitLimit,
    /// At most `capacity`.
    used: usize,
    /// The bodies of unknown length that may still grow, with the bytes that each holds; the oldest first. All but the
    /// first hold at most `capacity - max_body` together.
    growing: Vec<(BodyId, usize)>,
    /// The longest-waiting body first; each body waits at most once.
    waiting: VecDeque<WaitingBody>,
}

impl BodyPool {
    /// Creates a pool of `capacity` bytes for bodies of at most `max_body` bytes.
    pub fn new(capacity: usize, max_body: usize, wait_limit: WaitLimit) -> Self {
        let max_body = max_body.min(capacity);
        Self { capacity, max_body, wait_limit, used: 0, growing: Vec::new(), waiting: VecDeque::new() }
    }

    /// The bytes in use.
    pub fn used(&self) -> usize {
        self.used
    }

    /// The size of the pool in bytes.
    pub fn capacity(&self) -> usize {
        self.capacity
    }

    /// The longest body that the pool takes, in bytes.
    pub fn max_body(&self) -> usize {
        self.max_body
    }

    /// The number of bodies that wait for room.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Whether a body of known length gets `bytes` without waiting.
    pub fn has_room(&self, bytes: usize) -> bool {
        self.waiting.is_empty() && self.has_free(bytes)
    }

    /// Asks for `bytes` more for the body `id`, which must not be waiting.
    pub fn ask(&mut self, id: BodyId, bytes: usize, length: BodyLength) -> RoomResult {
        if bytes > self.capacity {
            return RoomResult::Refused;
        }
        if length == BodyLength::Unknown && !self.growing.iter().any(|it| it.0 == id) {
            self.growing.push((id, 0));
        }
        let body = WaitingBody { id, bytes, length };
        let is_overtaking = !self.is_oldest_growing(&body) && !self.waiting.is_empty();
        if !is_overtaking && self.fits(&body) {
            self.grant(body);
            return RoomResult::Granted;
        }
        let waiting_bytes: usize = self.waiting.iter().map(|it| it.bytes).sum();
        let is_too_much =
            self.waiting.len() >= self.wait_limit.bodies || waiting_bytes.saturating_add(bytes) > self.wait_limit.bytes;
        if is_too_much && !self.is_oldest_growing(&body) {
            return RoomResult::Refused;
        }
        self.waiting.push_back(body);
        RoomResult::Waiting
    }

    /// Grants the room of the next waiting body, if it may have it now. To be called until it returns `None` after each
    /// call of [`Self::ask`], [`Self::release`], [`Self::cancel`] and [`Self::finish`].
    pub fn next_granted(&mut self) -> Option<BodyId> {
        if let Some(at) = self.waiting.iter().position(|it| self.is_oldest_growing(it)) {
            // The others would take the room that it waits for.
            return self.fits(&self.waiting[at]).then(|| self.grant_waiting(at));
        }
        let blocked_at = self.waiting.iter().position(|it| !self.has_free(it.bytes)).unwrap_or(self.waiting.len());
        let at = self.waiting.range(..blocked_at).position(|it| self.fits(it))?;
        Some(self.grant_waiting(at))
    }

    /// Frees `bytes` that were granted.
    pub fn release(&mut self, bytes: usize) {
        debug_assert!(bytes <= self.used, "a pool gets back no more than it granted");
        self.used -= bytes;
    }

    /// Records that a body of unknown length won't grow any more; its bytes stay in use.
    pub fn finish(&mut self, id: BodyId) {
        self.growing.retain(|it| it.0 != id);
    }

    /// Removes a body that waits for room.
    pub fn cancel(&mut self, id: BodyId) {
        self.waiting.retain(|it| it.id != id);
    }

    fn has_free(&self, bytes: usize) -> bool {
        bytes <= self.capacity - self.used
    }

    fn is_oldest_growing(&self, body: &WaitingBody) -> bool {
        body.length == BodyLength::Unknown && self.growing.first().is_some_and(|it| it.0 == body.id)
    }

    fn fits(&self, body: &WaitingBody) -> bool {
        let leaves_room = || {
            let held: usize = self.growing.iter().skip(1).map(|it| it.1).sum();
            held + body.bytes <= self.capacity - self.max_body
        };
        self.has_free(body.bytes) && (body.length == BodyLength::Known || self.is_oldest_growing(body) || leaves_room())
    }

    fn grant_waiting(&mut self, at: usize) -> BodyId {
        let body = self.waiting.remove(at).expect("the position is that of a waiting body");
        self.grant(body);
        body.id
    }

    fn grant(&mut self, body: WaitingBody) {
        self.used += body.bytes;
        if let Some(it) = self.growing.iter_mut().find(|it| it.0 == body.id) {
            it.1 += body.bytes;
        }
    }
}
