//! A site: members that know which of them is primary, discovery, and a gateway before them.

use std::collections::HashMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::{Client, Discovery, Driver, Member, config, list, refuse, serve, until};

/// What effects were had, over all sites: how often each id ran.
#[derive(Clone, Default)]
pub struct Ledger {
    runs: Arc<Mutex<HashMap<String, u32>>>,
    /// Which site has the primary; any other number is none.
    pub home: Arc<AtomicUsize>,
    /// How long a member takes for a request, in milliseconds.
    pub work: Arc<AtomicUsize>,
    /// Members turn everything away.
    pub full: Arc<AtomicUsize>,
}

impl Ledger {
    pub fn runs(&self, id: &str) -> u32 {
        self.runs.lock().unwrap().get(id).copied().unwrap_or(0)
    }

    /// Ids that ran more than once.
    pub fn doubles(&self) -> Vec<String> {
        let runs = self.runs.lock().unwrap();
        runs.iter().filter(|(_, runs)| **runs > 1).map(|(id, _)| id.clone()).collect()
    }

    pub fn len(&self) -> usize {
        self.runs.lock().unwrap().len()
    }

    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

fn id_of(text: &str) -> Option<&str> {
    let rest = text.split_once("id=")?.1;
    rest.split([',', ' ']).next()
}

/// An address that nobody else has, for a program that is to be found again after a restart: of the loopback network,
/// new for each call of each process, so that ports given out by chance elsewhere never take it.
pub fn free_port() -> SocketAddr {
    static COUNT: AtomicUsize = AtomicUsize::new(0);
    let (count, process) = (COUNT.fetch_add(1, Ordering::SeqCst), std::process::id());
    let [_, _, high, low] = process.to_be_bytes();
    let address = std::net::Ipv4Addr::new(127, 16 + (count % 200) as u8, high, low.max(1));
    TcpListener::bind((address, 0)).unwrap().local_addr().unwrap()
}

pub struct Site {
    pub number: usize,
    pub members: Vec<Member>,
    pub discovery: Discovery,
    pub driver: Option<Driver>,
    pub address: SocketAddr,
    pub links: SocketAddr,
    /// How many links a request may cross.
    pub hops: usize,
    /// Where its gateway keeps what is to survive a restart.
    pub warm: Option<std::path::PathBuf>,
    config: String,
}

impl Site {
    /// With so many members of group 2; the first is primary while this is the home site.
    pub fn new(number: usize, members: usize, ledger: &Ledger, terms: impl Fn(String) -> String) -> Site {
        let members: Vec<Member> = (0..members).map(|at| member(number, at, ledger)).collect();
        let names: Vec<String> =
            (0..members.len()).map(|at| format!("s{number}-{}", ["a", "b", "c"][at])).collect();
        let lines: Vec<(&str, &Member, &str)> =
            names.iter().zip(&members).map(|(name, member)| (name.as_str(), member, "in_service")).collect();
        let discovery = Discovery::default();
        discovery.say(list(1, true, &lines));
        let config = config(discovery.start(), 256, &list(1, true, &lines));
        let config = terms(config.replace("\"n0\"", &format!("\"n{number}\"")));
        let (address, links) = (free_port(), free_port());
        Site { number, members, discovery, driver: None, address, links, hops: 1, warm: None, config }
    }

    /// Starts its gateway, which goes to these sites at these addresses; others may come from loopback.
    pub fn start(&mut self, peers: &[(usize, Option<SocketAddr>)]) {
        let peers: Vec<String> = peers
            .iter()
            .map(|(number, address)| {
                let addresses = address.map_or(String::new(), |address| format!("\"{address}\""));
                format!(r#"{{"site":"site{number}","addresses":[{addresses}],"networks":["127.0.0.0/8"],"links":2}}"#)
            })
            .collect();
        let status =
            std::env::temp_dir().join(format!("aldermill-{}-{}.sock", std::process::id(), self.links.port()));
        let warm = self.warm.as_ref().map(|folder| format!(r#","warm":{{"folder":{folder:?}}}"#));
        let operator = format!(
            r#"{{"gateway":{{"site":"site{}","listen":"{}","hops":{},"status":{:?},"peers":[{}]}}{}}}"#,
            self.number,
            self.links,
            self.hops,
            status,
            peers.join(","),
            warm.unwrap_or_default()
        );
        self.driver = Some(Driver::with(self.address, &self.config, Some(&operator)));
    }

    pub fn driver(&self) -> &Driver {
        self.driver.as_ref().expect("started")
    }

    pub fn status(&self) -> std::path::PathBuf {
        std::env::temp_dir().join(format!("aldermill-{}-{}.sock", std::process::id(), self.links.port()))
    }

    /// A client of this site, once it is admitted.
    pub fn client(&self) -> Client {
        let mut client = None;
        until("a client is admitted", || {
            client = Client::bare(self.address).greeted();
            client.is_some()
        });
        client.expect("admitted")
    }
}

fn member(site: usize, at: usize, ledger: &Ledger) -> Member {
    let ledger = ledger.clone();
    Member::start(move |text, stream| {
        let primary = at == 0 && ledger.home.load(Ordering::SeqCst) == site;
        let role = if primary { "writer" } else { "reader" };
        if !text.starts_with("/*") {
            return serve(text, role, stream);
        }
        if ledger.full.load(Ordering::SeqCst) > 0 {
            return refuse("53300", role, stream);
        }
        if text.contains("INSERT") && !primary {
            return refuse("25006", role, stream);
        }
        if text.contains("INSERT")
            && let Some(id) = id_of(text)
        {
            *ledger.runs.lock().unwrap().entry(id.to_owned()).or_default() += 1;
        }
        thread::sleep(Duration::from_millis(ledger.work.load(Ordering::SeqCst) as u64));
        serve(text, role, stream);
    })
}
