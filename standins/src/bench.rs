//! `standins bench`: what a pair of daemons adds to a request, and what it costs.

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

/// Connections held open while threads and memory are read.
const OPEN_CONNECTIONS: usize = 350;
/// How long a closed loop runs.
const RUN: Duration = Duration::from_secs(5);

/// Where the requests go.
#[derive(Debug, Clone)]
struct Aim {
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
    let aims = [
        Aim { name: "direct", address: fleet.endpoints[0].address, path: "/portal", ticketed: false },
        Aim { name: "guard only", address: guard.callers, path: "/portal", ticketed: false },
        Aim { name: "ingress+guard", address: ingress.callers, path: "/portal", ticketed: false },
        Aim { name: "ticketed", address: ingress.callers, path: "/billing/charges", ticketed: true },
    ];
    println!("open loop, {rate} requests/s, {} s each; times in ms", RUN.as_secs());
    println!("{:14} {:>9} {:>8} {:>8} {:>8} {:>14}", "path", "requests", "p50", "p99", "p99.9", "cpu us/request");
    for aim in &aims {
        let before = cpu(&fleet)?;
        let times = open_loop(aim, rate);
        let spent = cpu(&fleet)? - before;
        print_row(aim.name, &times, spent);
    }
    println!("closed loop, 32 callers, {} s each", RUN.as_secs());
    // Ticketed work opens a connection a request to its endpoint, and loopback runs out of ports.
    for aim in aims.iter().filter(|it| !it.ticketed) {
        let before = cpu(&fleet)?;
        let times = closed_loop(aim, 32);
        let spent = cpu(&fleet)? - before;
        print_row(aim.name, &times, spent);
        println!("{:14} {:>9.0} requests/s", "", times.len() as f64 / RUN.as_secs_f64());
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

/// A connection that has been used once and stays open.
fn hold_open(address: SocketAddr) -> io::Result<TcpStream> {
    use std::io::{Read as _, Write as _};
    let mut stream = TcpStream::connect(address)?;
    stream.write_all(b"GET /none HTTP/1.1\r\nHost: x\r\n\r\n")?;
    let mut buf = [0; 1024];
    let count = stream.read(&mut buf)?;
    if count == 0 { Err(io::ErrorKind::UnexpectedEof.into()) } else { Ok(stream) }
}

fn open_loop(aim: &Aim, rate: f64) -> Histogram<u64> {
    const WORKERS: u32 = 32;
    let start = Instant::now() + Duration::from_millis(50);
    let gap = Duration::from_secs_f64(1.0 / rate);
    gather(WORKERS, |at| {
        let client = Client::new(aim);
        let mut times = new_times();
        let mut due = start + gap * at;
        while due < start + RUN {
            thread::sleep(due.saturating_duration_since(Instant::now()));
            if client.call() {
                times.record(due.elapsed().as_micros() as u64).expect("the histogram grows");
            }
            due += gap * WORKERS;
        }
        times
    })
}

fn closed_loop(aim: &Aim, callers: u32) -> Histogram<u64> {
    let end = Instant::now() + RUN;
    gather(callers, |_| {
        let client = Client::new(aim);
        let mut times = new_times();
        while Instant::now() < end {
            let started = Instant::now();
            if client.call() {
                times.record(started.elapsed().as_micros() as u64).expect("the histogram grows");
            }
        }
        times
    })
}

fn gather(workers: u32, work: impl Fn(u32) -> Histogram<u64> + Sync) -> Histogram<u64> {
    let mut all = new_times();
    thread::scope(|scope| {
        let work = &work;
        let running: Vec<_> = (0..workers).map(|at| scope.spawn(move || work(at))).collect();
        for it in running {
            all.add(it.join().expect("a caller does not panic")).expect("the histogram grows");
        }
    });
    all
}

fn new_times() -> Histogram<u64> {
    Histogram::new(3).expect("three digits are a valid precision")
}

struct Client<'a> {
    aim: &'a Aim,
    agent: Agent,
    tickets: std::cell::RefCell<Vec<String>>,
}

impl<'a> Client<'a> {
    fn new(aim: &'a Aim) -> Self {
        let config = Agent::config_builder().http_status_as_error(false).max_idle_connections_per_host(1).build();
        Self { aim, agent: Agent::new_with_config(config), tickets: Default::default() }
    }

    /// Makes a call; false if it was not answered well.
    fn call(&self) -> bool {
        let Aim { address, path, .. } = self.aim;
        let mut req = self.agent.post(format!("http://{address}{path}"));
        req = req.header("Authorization", format!("Bearer {TOKEN}"));
        if self.aim.ticketed {
            let Some(ticket) = self.ticket() else { return false };
            req = req.header("Jayreach-Ticket", ticket);
        }
        let answer = req.send("body");
        answer.is_ok_and(|mut it| it.status() == 200 && it.body_mut().read_to_vec().is_ok())
    }

    fn ticket(&self) -> Option<String> {
        let mut tickets = self.tickets.borrow_mut();
        if tickets.is_empty() {
            let uri = format!("http://{}/.jayreach/tickets?count=500", self.aim.address);
            let text = self.agent.post(uri).send_empty().ok()?.body_mut().read_to_string().ok()?;
            *tickets = serde_json::from_str(&text).ok()?;
        }
        tickets.pop()
    }
}
