//! `standins bench`: latency, processor time and memory that a pair of daemons adds to requests.

use std::{
    io,
    net::{SocketAddr, TcpStream},
    thread,
    time::{Duration, Instant},
};

use hdrhistogram::Histogram;
use ureq::Agent;

use crate::{
    deployment::repository_file,
    fleet::{EndpointProfile, Fleet, TOKEN},
    proc::{Usage, usage},
};

/// Connections that are open while threads and memory are measured.
const OPEN_CONNECTIONS: usize = 350;
/// Duration of each loop.
const LOOP_DURATION: Duration = Duration::from_secs(5);

/// Target of the requests of a loop.
#[derive(Debug, Clone)]
struct BenchTarget {
    name: &'static str,
    address: SocketAddr,
    path: &'static str,
    ticketed: bool,
}

/// Runs the benchmark and prints its tables.
pub fn run(rate: f64) -> io::Result<()> {
    let mut fleet = Fleet::start()?;
    fleet.add_daemon("dc-1")?;
    fleet.add_daemon("dc-1")?;
    let profile = EndpointProfile { slots: 64, service_ms: 0, cold_start_ms: 0 };
    for service in ["portal", "billing", "vouchers"] {
        fleet.add_endpoint(service, 1, profile)?;
    }
    fleet.apply(&repository_file("samples/prairie.toml"))?;
    fleet.wait_for_endpoints(3)?;
    let (ingress, guard) = (&fleet.daemons[0], &fleet.daemons[1]);
    let targets = [
        BenchTarget { name: "direct", address: fleet.endpoints[0].address, path: "/portal", ticketed: false },
        BenchTarget { name: "guard only", address: guard.callers, path: "/portal", ticketed: false },
        BenchTarget { name: "ingress+guard", address: ingress.callers, path: "/portal", ticketed: false },
        BenchTarget { name: "ticketed", address: ingress.callers, path: "/billing/charges", ticketed: true },
    ];
    println!("open loop, {rate} requests/s, {} s each; times in ms", LOOP_DURATION.as_secs());
    println!("{:14} {:>9} {:>8} {:>8} {:>8} {:>14}", "path", "requests", "p50", "p99", "p99.9", "cpu us/request");
    for target in &targets {
        let before = cpu(&fleet)?;
        let times = open_loop(target, rate);
        let spent = cpu(&fleet)? - before;
        print_row(target.name, &times, spent);
    }
    println!("closed loop, 32 callers, {} s each", LOOP_DURATION.as_secs());
    // A ticketed request opens a connection to its endpoint; a closed loop of them exhausts the ports of loopback.
    for target in targets.iter().filter(|it| !it.ticketed) {
        let before = cpu(&fleet)?;
        let times = closed_loop(target, 32);
        let spent = cpu(&fleet)? - before;
        print_row(target.name, &times, spent);
        println!("{:14} {:>9.0} requests/s", "", times.len() as f64 / LOOP_DURATION.as_secs_f64());
    }
    print_memory(&fleet)?;
    fleet.close();
    Ok(())
}

fn cpu(fleet: &Fleet) -> io::Result<Duration> {
    fleet.daemons.iter().map(|it| usage(it.process.id()).map(|it| it.cpu)).sum()
}

fn print_row(name: &str, times: &Histogram<u64>, spent: Duration) {
    let ms = |quantile| times.value_at_quantile(quantile) as f64 / 1000.0;
    let each = spent.as_micros() as f64 / times.len().max(1) as f64;
    println!("{name:14} {:>9} {:>8.3} {:>8.3} {:>8.3} {each:>14.0}", times.len(), ms(0.5), ms(0.99), ms(0.999));
}

fn print_memory(fleet: &Fleet) -> io::Result<()> {
    let ingress = &fleet.daemons[0];
    let print = |name: &str, it: Usage| {
        println!("{name:32} {:>4} threads {:>7.1} MB resident", it.threads, it.resident as f64 / 1e6);
    };
    print("ingress after the load", usage(ingress.process.id())?);
    let open: Vec<_> = (0..OPEN_CONNECTIONS).map(|_| hold_open(ingress.callers)).collect::<Result<_, _>>()?;
    thread::sleep(Duration::from_millis(500));
    print("ingress with 350 connections", usage(ingress.process.id())?);
    drop(open);
    Ok(())
}

/// Opens a connection, sends one request on it, and keeps it open.
fn hold_open(address: SocketAddr) -> io::Result<TcpStream> {
    use std::io::{Read as _, Write as _};
    let mut stream = TcpStream::connect(address)?;
    stream.write_all(b"GET /none HTTP/1.1\r\nHost: x\r\n\r\n")?;
    let mut buf = [0; 1024];
    let count = stream.read(&mut buf)?;
    if count == 0 { Err(io::ErrorKind::UnexpectedEof.into()) } else { Ok(stream) }
}

fn open_loop(target: &BenchTarget, rate: f64) -> Histogram<u64> {
    const WORKERS: u32 = 32;
    let start = Instant::now() + Duration::from_millis(50);
    let gap = Duration::from_secs_f64(1.0 / rate);
    run_workers(WORKERS, |at| {
        let client = Client::new(target);
        let mut times = new_histogram();
        let mut due = start + gap * at;
        while due < start + LOOP_DURATION {
            thread::sleep(due.saturating_duration_since(Instant::now()));
            if client.call() {
                times.record(due.elapsed().as_micros() as u64).expect("the histogram grows");
            }
            due += gap * WORKERS;
        }
        times
    })
}

fn closed_loop(target: &BenchTarget, callers: u32) -> Histogram<u64> {
    let end = Instant::now() + LOOP_DURATION;
    run_workers(callers, |_| {
        let client = Client::new(target);
        let mut times = new_histogram();
        while Instant::now() < end {
            let started = Instant::now();
            if client.call() {
                times.record(started.elapsed().as_micros() as u64).expect("the histogram grows");
            }
        }
        times
    })
}

fn run_workers(workers: u32, work: impl Fn(u32) -> Histogram<u64> + Sync) -> Histogram<u64> {
    let mut all = new_histogram();
    thread::scope(|scope| {
        let work = &work;
        let running: Vec<_> = (0..workers).map(|at| scope.spawn(move || work(at))).collect();
        for it in running {
            all.add(it.join().expect("a caller does not panic")).expect("the histogram grows");
        }
    });
    all
}

fn new_histogram() -> Histogram<u64> {
    Histogram::new(3).expect("three digits are a valid precision")
}

struct Client<'a> {
    target: &'a BenchTarget,
    agent: Agent,
    tickets: std::cell::RefCell<Vec<String>>,
}

impl<'a> Client<'a> {
    fn new(target: &'a BenchTarget) -> Self {
        let config = Agent::config_builder().http_status_as_error(false).max_idle_connections_per_host(1).build();
        Self { target, agent: Agent::new_with_config(config), tickets: Default::default() }
    }

    /// Sends a request; true if the whole response arrived with status 200.
    fn call(&self) -> bool {
        let BenchTarget { address, path, .. } = self.target;
        let mut req = self.agent.post(format!("http://{address}{path}"));
        req = req.header("Authorization", format!("Bearer {TOKEN}"));
        if self.target.ticketed {
            let Some(ticket) = self.ticket() else { return false };
            req = req.header("Jayreach-Ticket", ticket);
        }
        let resp = req.send("body");
        resp.is_ok_and(|mut it| it.status() == 200 && it.body_mut().read_to_vec().is_ok())
    }

    fn ticket(&self) -> Option<String> {
        let mut tickets = self.tickets.borrow_mut();
        if tickets.is_empty() {
            let uri = format!("http://{}/.jayreach/tickets?count=500", self.target.address);
            let text = self.agent.post(uri).send_empty().ok()?.body_mut().read_to_string().ok()?;
            *tickets = serde_json::from_str(&text).ok()?;
        }
        tickets.pop()
    }
}
