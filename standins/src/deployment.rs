//! The two sample deployments, Prairie and Pila Verde: services, endpoints, targets and load.

use std::{
    io,
    path::{Path, PathBuf},
    time::Duration,
};

use crate::{
    fleet::{EndpointProfile, Fleet},
    load::RequestClass,
};

/// A deployment: data centres, services, endpoints and mix of requests.
#[derive(Debug, Clone)]
pub struct Deployment {
    /// Name for printed tables.
    pub name: &'static str,
    /// Path of its targets file, relative to the repository's root.
    pub targets: &'static str,
    /// Number of data centres.
    pub data_centres: usize,
    /// Services and the number of their endpoints.
    pub services: &'static [(&'static str, usize)],
    /// Slots and timing of each endpoint.
    pub endpoint_profile: EndpointProfile,
    /// Classes of requests; their shares add up to 100.
    pub mix: Vec<RequestClass>,
}

fn request_class(name: &'static str, path: &'static str, ticketed: bool, percent: u32, secs: u64) -> RequestClass {
    RequestClass { name, path, ticketed, percent, lateness: Duration::from_secs(secs) }
}

/// Prairie Public Access Network Authority: portal, vouchers and billing in three data centres.
pub fn prairie() -> Deployment {
    Deployment {
        name: "Prairie",
        targets: "samples/prairie.toml",
        data_centres: 3,
        services: &[("portal", 6), ("vouchers", 10), ("billing", 10)],
        endpoint_profile: EndpointProfile { slots: 7, service_ms: 15, cold_start_ms: 300 },
        mix: vec![
            request_class("charge", "/billing/charges", true, 20, 2),
            request_class("voucher", "/vouchers", true, 30, 2),
            request_class("lookup", "/portal", false, 50, 1),
        ],
    }
}

/// Pila Verde Recolección: directory, intake and ledger in four data centres.
pub fn pila_verde() -> Deployment {
    Deployment {
        name: "Pila Verde",
        targets: "samples/pila-verde.toml",
        data_centres: 4,
        services: &[("directory", 8), ("intake", 8), ("ledger", 8)],
        endpoint_profile: EndpointProfile { slots: 4, service_ms: 20, cold_start_ms: 300 },
        mix: vec![
            request_class("drop-off", "/drop-offs", true, 20, 3),
            request_class("credit", "/credits", true, 20, 3),
            request_class("lookup", "/directory", false, 60, 5),
        ],
    }
}

impl Deployment {
    /// Starts the deployment with `daemons` daemons, applies its targets, and waits until every daemon lists all
    /// endpoints as eligible.
    pub fn start(&self, daemons: usize) -> io::Result<Fleet> {
        let mut fleet = Fleet::start()?;
        for at in 0..daemons {
            fleet.add_daemon(&format!("dc-{}", at % self.data_centres + 1))?;
        }
        let mut count = 0;
        for (service, endpoints) in self.services {
            for _ in 0..*endpoints {
                fleet.add_endpoint(service, count % daemons, self.endpoint_profile)?;
                count += 1;
            }
        }
        fleet.apply(&repository_file(self.targets))?;
        fleet.wait_for_endpoints(count)?;
        Ok(fleet)
    }
}

/// Path of a file, given relative to the repository's root.
pub fn repository_file(name: &str) -> PathBuf {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).parent();
    root.expect("the stand-ins are a folder of the repository").join(name)
}
