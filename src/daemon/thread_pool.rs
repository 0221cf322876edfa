//! A thread pool that grows on demand. Less important jobs may fill only a share of it, so that threads stay free
//! for important ones.

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

use crossbeam::channel::{Receiver, Sender, TrySendError, bounded};

use crate::{daemon::http_server::Request, util::lock};

/// A job for a thread of the pool.
pub(crate) type Job = Box<dyn FnOnce() + Send>;

/// How long an idle thread waits for its next job before it ends.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// The stack size of a thread.
const STACK_BYTES: usize = 512 * 1024;

/// A pool of up to `limit` threads.
#[derive(Clone)]
pub(crate) struct ThreadPool {
    name: &'static str,
    limit: usize,
    threads: Arc<AtomicUsize>,
    tx: Sender<Job>,
    rx: Receiver<Job>,
}

impl ThreadPool {
    /// An empty pool of at most `limit` threads, which are called `name`.
    pub(crate) fn new(name: &'static str, limit: usize) -> Self {
        // Without a buffer, a send succeeds only if an idle thread is waiting.
        let (tx, rx) = bounded(0);
        Self { name, limit, threads: Arc::default(), tx, rx }
    }

    /// Runs a job on an idle or a new thread. Returns the job if no thread is idle and `max_share` of the limit is
    /// reached.
    pub(crate) fn run(&self, job: Job, max_share: f64) -> Result<(), Job> {
        let job = match self.tx.try_send(job) {
            Ok(()) => return Ok(()),
            Err(TrySendError::Full(job) | TrySendError::Disconnected(job)) => job,
        };
        let limit = (self.limit as f64 * max_share).ceil() as usize;
        let may_spawn =
            self.threads.fetch_update(Ordering::AcqRel, Ordering::Acquire, |it| (it < limit).then_some(it + 1)).is_ok();
        if !may_spawn {
            return Err(job);
        }
        self.spawn(job);
        Ok(())
    }

    /// Handles a request on a thread of the pool. Returns the request if no thread is available.
    pub(crate) fn handle(
        &self,
        req: Request,
        max_share: f64,
        handler: impl FnOnce(Request) + Send + 'static,
    ) -> Option<Request> {
        let request_slot = Arc::new(Mutex::new(Some(req)));
        let job_slot = Arc::clone(&request_slot);
        let job = Box::new(move || {
            if let Some(req) = lock(&job_slot).take() {
                handler(req);
            }
        });
        if self.run(job, max_share).is_ok() {
            return None;
        }
        metrics::counter!("jayreach_pool_refusals_total").increment(1);
        lock(&request_slot).take()
    }

    fn spawn(&self, first: Job) {
        let rx = self.rx.clone();
        let threads = Arc::clone(&self.threads);
        let work = move || {
            let _count = ThreadCount(threads);
            first();
            while let Ok(job) = rx.recv_timeout(IDLE_TIMEOUT) {
                job();
            }
        };
        let builder = thread::Builder::new().name(self.name.into()).stack_size(STACK_BYTES);
        if let Err(error) = builder.spawn(work) {
            // The job is dropped with the closure; a request in it closes its connection when it is dropped.
            log::error!("starting a thread of the {} pool: {error}", self.name);
            self.threads.fetch_sub(1, Ordering::AcqRel);
        }
    }

    /// The current number of threads.
    pub(crate) fn threads(&self) -> usize {
        self.threads.load(Ordering::Acquire)
    }
}

/// Subtracts a thread from the count on drop, also when its job panics.
struct ThreadCount(Arc<AtomicUsize>);

impl Drop for ThreadCount {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}
