//! Bodies of requests and responses: read into memory in segments, and sent from there, from a peer or from an endpoint
//! without copying.

use std::{
    cell::Cell,
    collections::VecDeque,
    fmt,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, ready},
    time::{Duration, Instant},
};

use http_body_util::BodyExt as _;
use hyper::body::{Body as HttpBody, Bytes, Frame, Incoming, SizeHint};
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use serde_bytes::ByteBuf;
use thiserror::Error;
use tokio::{sync::mpsc, time::timeout};

use crate::proxy::{
    body_memory::{BodyRoom, GrowingBody, NoRoom, Room, SMALL_BODY},
    clock,
};

/// The length of all segments of a long body but the last, in bytes.
pub(super) const SEGMENT: usize = 256 << 10;

/// The error of a body that breaks off.
pub(super) type BoxError = Box<dyn std::error::Error + Send + Sync>;

/// A complete body. Clones share its memory.
#[derive(Clone)]
pub struct Body {
    segments: Rc<[Bytes]>,
    len: usize,
}

impl Body {
    /// The length in bytes.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether the body is empty.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// The parts of the body, in order.
    pub fn segments(&self) -> &[Bytes] {
        &self.segments
    }

    /// The body in one piece.
    pub fn into_vec(self) -> Vec<u8> {
        match &*self.segments {
            [only] => {
                let only = only.clone();
                drop(self);
                only.into()
            }
            segments => segments.concat(),
        }
    }

    /// At most `len` bytes from `offset` on, which share the memory of this body.
    pub fn slice(&self, offset: usize, len: usize) -> Self {
        let (mut skip, mut left) = (offset, len);
        let mut segments = Vec::new();
        for it in &*self.segments {
            let from = skip.min(it.len());
            let to = it.len().min(from.saturating_add(left));
            if from < to {
                segments.push(it.slice(from..to));
            }
            skip -= from;
            left -= to - from;
        }
        Self::from(segments)
    }
}

impl Default for Body {
    fn default() -> Self {
        Self::from(Vec::new())
    }
}

impl From<Vec<Bytes>> for Body {
    fn from(segments: Vec<Bytes>) -> Self {
        Self { len: segments.iter().map(Bytes::len).sum(), segments: segments.into() }
    }
}

impl From<Bytes> for Body {
    fn from(bytes: Bytes) -> Self {
        Self::from(vec![bytes])
    }
}

impl PartialEq for Body {
    fn eq(&self, other: &Self) -> bool {
        let bytes = |it: &Self| it.segments.iter().flatten().copied().collect::<Vec<u8>>();
        self.len == other.len && bytes(self) == bytes(other)
    }
}

impl fmt::Debug for Body {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Body({} bytes)", self.len)
    }
}

/// Writes a byte string.
impl Serialize for Body {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        match &*self.segments {
            [only] => serializer.serialize_bytes(only),
            segments => serializer.serialize_bytes(&segments.concat()),
        }
    }
}

impl<'de> Deserialize<'de> for Body {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let buf = ByteBuf::deserialize(deserializer)?;
        Ok(Self::from(Bytes::from(buf.into_vec())))
    }
}

/// Why a body could not be read.
#[derive(Debug, Error)]
pub(super) enum ReadError {
    /// It is longer than allowed.
    #[error("the body is too long")]
    TooLong,
    /// No memory became free for it.
    #[error("no memory for the body")]
    NoRoom,
    /// The connection ended before it was complete.
    #[error("the body broke off: {0}")]
    BrokenOff(#[from] hyper::Error),
}

impl From<NoRoom> for ReadError {
    fn from(NoRoom: NoRoom) -> Self {
        Self::NoRoom
    }
}

/// The time that a run waits for its ingress or for memory, which says nothing about its endpoint.
#[derive(Debug, Default)]
pub(super) struct OwnWait {
    /// Without the wait since `since`.
    total: Cell<Duration>,
    /// When the current wait began.
    since: Cell<Option<Instant>>,
}

impl OwnWait {
    fn begin(&self) {
        self.since.set(self.since.get().or(Some(clock::now())));
    }

    fn end(&self) {
        self.total.set(self.total());
        self.since.set(None);
    }

    /// The time so far.
    pub(super) fn total(&self) -> Duration {
        let current = self.since.get().map(|it| clock::now().saturating_duration_since(it));
        self.total.get() + current.unwrap_or_default()
    }
}

/// Reads a body of at most `limit` bytes. Memory is taken before the bytes are read; `max_wait` bounds each wait for it,
/// which is added to `own_wait`.
pub(super) async fn read(
    body: &mut Incoming,
    limit: usize,
    room: &BodyRoom,
    max_wait: Duration,
    own_wait: &OwnWait,
) -> Result<Body, ReadError> {
    let length = body.size_hint().exact().map(|it| usize::try_from(it).unwrap_or(usize::MAX));
    let limit = limit.min(room.max_body());
    let first_room = match length {
        Some(0) => return Ok(Body::default()),
        Some(it) if it > limit => return Err(ReadError::TooLong),
        Some(it) if it <= SMALL_BODY => wait_for(room.take_small(it), max_wait, own_wait).await?,
        Some(it) => wait_for(room.large.take(it), max_wait, own_wait).await?,
        None => wait_for(room.take_small(SMALL_BODY), max_wait, own_wait).await?,
    };
    let mut reader = BodyReader {
        room,
        limit,
        max_wait,
        own_wait,
        unused: first_room,
        growing: None,
        segments: Vec::new(),
        current: None,
        len: 0,
    };
    while let Some(frame) = body.frame().await {
        if let Ok(data) = frame?.into_data() {
            reader.append(data).await?;
        }
    }
    Ok(reader.finish())
}

async fn wait_for(
    room: impl Future<Output = Result<Room, NoRoom>>,
    max_wait: Duration,
    own_wait: &OwnWait,
) -> Result<Room, NoRoom> {
    own_wait.begin();
    let room = timeout(max_wait, room).await.unwrap_or(Err(NoRoom));
    own_wait.end();
    room
}

/// Copies a body into segments, so that the buffers of its connection are free again.
struct BodyReader<'a> {
    room: &'a BodyRoom,
    limit: usize,
    max_wait: Duration,
    own_wait: &'a OwnWait,
    /// Room that no segment has yet.
    unused: Room,
    /// Set once a body of unknown length has outgrown its first room.
    growing: Option<GrowingBody>,
    segments: Vec<Bytes>,
    /// The segment that is being filled, and its room; never full.
    current: Option<(Vec<u8>, Room)>,
    len: usize,
}

impl BodyReader<'_> {
    async fn append(&mut self, mut data: Bytes) -> Result<(), ReadError> {
        self.len += data.len();
        if self.len > self.limit {
            return Err(ReadError::TooLong);
        }
        while !data.is_empty() {
            let (mut buf, room) = match self.current.take() {
                Some(it) => it,
                None => self.next_segment().await?,
            };
            let part = data.split_to(data.len().min(room.bytes() - buf.len()));
            buf.extend_from_slice(&part);
            if buf.len() == room.bytes() {
                self.segments.push(room.fill(buf));
            } else {
                self.current = Some((buf, room));
            }
        }
        Ok(())
    }

    async fn next_segment(&mut self) -> Result<(Vec<u8>, Room), ReadError> {
        if self.unused.bytes() == 0 {
            let growing = self.growing.get_or_insert_with(|| self.room.large.begin_growing());
            self.unused = wait_for(growing.grow(SEGMENT), self.max_wait, self.own_wait).await?;
        }
        let room = self.unused.split(self.unused.bytes().min(SEGMENT));
        Ok((Vec::with_capacity(room.bytes()), room))
    }

    fn finish(mut self) -> Body {
        if let Some((buf, room)) = self.current.take() {
            self.segments.push(room.fill(buf));
        }
        Body::from(self.segments)
    }
}

/// A body that is being received from a peer and passed on as it comes.
#[derive(Debug)]
pub(super) struct Upload {
    /// The part that came with the message before it.
    first: Bytes,
    rest: Incoming,
    left: usize,
    broke_off: Rc<Cell<bool>>,
    own_wait: Rc<OwnWait>,
}

impl Upload {
    /// A body of `len` bytes that begins with `first`.
    pub(super) fn new(first: Bytes, rest: Incoming, len: usize) -> Self {
        Self { first, rest, left: len, broke_off: Rc::default(), own_wait: Rc::default() }
    }

    /// Counts the time in which the next part hasn't come from the sender.
    pub(super) fn own_wait(&self) -> Rc<OwnWait> {
        Rc::clone(&self.own_wait)
    }

    /// Becomes true when the sender ends before the body is complete.
    pub(super) fn broke_off(&self) -> Rc<Cell<bool>> {
        Rc::clone(&self.broke_off)
    }

    fn poll_next(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, BoxError>>> {
        while self.first.is_empty() && self.left > 0 {
            self.own_wait.begin();
            let frame = ready!(Pin::new(&mut self.rest).poll_frame(cx));
            self.own_wait.end();
            match frame {
                Some(Ok(frame)) => self.first = frame.into_data().unwrap_or_default(),
                Some(Err(error)) => {
                    self.broke_off.set(true);
                    return Poll::Ready(Some(Err(error.into())));
                }
                None => {
                    self.broke_off.set(true);
                    return Poll::Ready(Some(Err("the sender ended before the body was complete".into())));
                }
            }
        }
        if self.left == 0 {
            return Poll::Ready(None);
        }
        let part = self.first.split_to(self.first.len().min(self.left));
        self.left -= part.len();
        Poll::Ready(Some(Ok(part)))
    }
}

/// A body that is sent.
#[derive(Debug)]
pub(super) enum OutBody {
    /// From memory, which is freed as the parts are sent.
    Held {
        /// The parts that are not sent yet.
        parts: VecDeque<Bytes>,
        /// The sum of their lengths.
        left: usize,
    },
    /// From a peer, as it comes.
    Upload(Upload),
    /// In parts that a task fetches.
    Parts {
        /// The next parts.
        rx: mpsc::Receiver<Result<Bytes, BoxError>>,
        /// The bytes that are not sent yet.
        left: usize,
    },
}

impl OutBody {
    /// The bytes that are not sent yet.
    fn left(&self) -> usize {
        match self {
            Self::Held { left, .. } | Self::Parts { left, .. } | Self::Upload(Upload { left, .. }) => *left,
        }
    }
}

impl From<&Body> for OutBody {
    fn from(body: &Body) -> Self {
        Self::Held { parts: body.segments.iter().cloned().collect(), left: body.len }
    }
}

impl From<Bytes> for OutBody {
    fn from(bytes: Bytes) -> Self {
        Self::from(&Body::from(bytes))
    }
}

impl HttpBody for OutBody {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        let part = match &mut *self {
            Self::Held { parts, left } => {
                let part = parts.pop_front();
                *left -= part.as_ref().map_or(0, Bytes::len);
                part.map(Ok)
            }
            Self::Upload(it) => ready!(it.poll_next(cx)),
            Self::Parts { left: 0, .. } => None,
            Self::Parts { rx, left } => match ready!(rx.poll_recv(cx)) {
                Some(Ok(part)) => {
                    *left = left.saturating_sub(part.len());
                    Some(Ok(part))
                }
                Some(Err(error)) => Some(Err(error)),
                // Ends the connection, so that the body doesn't look complete.
                None => Some(Err("the rest of the body is missing".into())),
            },
        };
        Poll::Ready(part.map(|it| it.map(Frame::data)))
    }

    fn is_end_stream(&self) -> bool {
        self.left() == 0
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.left() as u64)
    }
}
