//! A pool of threads that grows on demand, up to a limit that depends on how much the work matters.

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

/// A piece of work.
pub(crate) type Job = Box<dyn FnOnce() + Send>;

/// How long an idle thread waits for its next job.
const IDLE: Duration = Duration::from_secs(10);
/// The size of a thread's stack, in bytes; only what is touched counts as memory.
const STACK: usize = 512 * 1024;

/// A pool of threads.
#[derive(Clone)]
pub(crate) struct ThreadPool {
    name: &'static str,
    limit: usize,
    threads: Arc<AtomicUsize>,
    tx: Sender<Job>,
    rx: Receiver<Job>,
}

impl ThreadPool {
    /// A pool of `limit` threads at most.
    pub(crate) fn new(name: &'static str, limit: usize) -> Self {
        // Without a buffer, a send succeeds only if a thread is waiting.
        let (tx, rx) = bounded(0);
        Self { name, limit, threads: Arc::default(), tx, rx }
    }

    /// Runs a job, unless more than `share` of the pool would be in use; then the job comes back.
    pub(crate) fn run(&self, job: Job, share: f64) -> Result<(), Job> {
        let job = match self.tx.try_send(job) {
            Ok(()) => return Ok(()),
            Err(TrySendError::Full(job) | TrySendError::Disconnected(job)) => job,
        };
        let limit = (self.limit as f64 * share).ceil() as usize;
        let reserved =
            self.threads.fetch_update(Ordering::AcqRel, Ordering::Acquire, |it| (it < limit).then_some(it + 1)).is_ok();
        if !reserved {
            return Err(job);
        }
        self.spawn(job);
        Ok(())
    }

    /// Answers a request in the pool; the request comes back if there is no room.
    pub(crate) fn answer(
        &self,
        req: Request,
        share: f64,
        answer: impl FnOnce(Request) + Send + 'static,
    ) -> Option<Request> {
        let slot = Arc::new(Mutex::new(Some(req)));
        let taken = Arc::clone(&slot);
        let job = Box::new(move || {
            if let Some(req) = lock(&taken).take() {
                answer(req);
            }
        });
        if self.run(job, share).is_ok() {
            return None;
        }
        metrics::counter!("jayreach_pool_refusals_total").increment(1);
        lock(&slot).take()
    }

    fn spawn(&self, first: Job) {
        let rx = self.rx.clone();
        let threads = Arc::clone(&self.threads);
        let work = move || {
            let _count = Count(threads);
            first();
            while let Ok(job) = rx.recv_timeout(IDLE) {
                job();
            }
        };
        let builder = thread::Builder::new().name(self.name.into()).stack_size(STACK);
        if let Err(error) = builder.spawn(work) {
            // The job is lost with the closure; its request closes the connection on being dropped.
            log::error!("no thread for {}: {error}", self.name);
            self.threads.fetch_sub(1, Ordering::AcqRel);
        }
    }

    /// How many threads there are.
    pub(crate) fn threads(&self) -> usize {
        self.threads.load(Ordering::Acquire)
    }
}

/// Counts a thread out, also when its job panics.
struct Count(Arc<AtomicUsize>);

impl Drop for Count {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}
