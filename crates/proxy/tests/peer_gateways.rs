//! Tests of what a gateway states about a request's earlier attempts, and what it makes of such statements. The other
//! site's gateway is scripted: one of this version, or one of an earlier version, which knows no attempt ages.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use aldermill_site_link::{
    CapacityAnnouncement, Credit, HomeAnnouncement, Identity, Inbound, Link, LinkConfig, Outbound, Request,
    Response, ResponseKind,
};
use aldermill_test_support::{LONG, Ledger, Site, named, new_id, order};

/// How long members remember the key of a write, in milliseconds.
const WINDOW_MS: u64 = 1500;
/// How long clients wait for a write, in milliseconds.
const TIMEOUT_MS: u32 = 3000;
/// How long a scripted gateway waits for bytes before it looks at its other work.
const READ_TIMEOUT: Duration = Duration::from_millis(20);
const GROUP: u64 = 2;

fn deduplicated(settings: String) -> String {
    let unlimited = r#""effect":"side_effect","dedupScope":"all","windowMs":0"#;
    let limited = format!(r#""effect":"token","dedupScope":"cell","windowMs":{WINDOW_MS}"#);
    settings.replace(unlimited, &limited)
}

/// A scripted gateway of a site, with one link.
struct ScriptedGateway {
    stream: TcpStream,
    link: Link,
    started_at: Instant,
}

impl ScriptedGateway {
    /// Exchanges greetings over the connection, as gateway of the site with this number. Returns also the incarnation of
    /// the gateway at the other end.
    fn greet(stream: TcpStream, site: usize) -> (ScriptedGateway, u64) {
        stream.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
        let identity = Identity { site: format!("site{site}"), instance: "scripted".into(), incarnation: 5 };
        let link = Link::new(LinkConfig::standard(100_000, 100_000), &identity, 0);
        let mut gateway = ScriptedGateway { stream, link, started_at: Instant::now() };
        let incarnation = gateway.wait_for(LONG, |message| match message {
            Inbound::Greeted(identity) => Some(identity.incarnation),
            _ => None,
        });
        (gateway, incarnation.expect("a greeting"))
    }

    /// Writes what is due, and returns the messages that arrive within [`READ_TIMEOUT`].
    fn receive(&mut self) -> Vec<Inbound> {
        let now = self.started_at.elapsed().as_micros() as i64;
        self.link.wake(now).unwrap();
        while let Some(bytes) = self.link.next_bytes(4096) {
            self.stream.write_all(&bytes).unwrap();
        }
        let mut piece = [0; 16 * 1024];
        match self.stream.read(&mut piece) {
            Ok(count @ 1..) => self.link.receive(now, &piece[..count]).unwrap(),
            _ => Vec::new(),
        }
    }

    /// Returns what `wanted` picks from the messages of the next `for_at_most`.
    fn wait_for<T>(&mut self, for_at_most: Duration, wanted: impl Fn(Inbound) -> Option<T>) -> Option<T> {
        let start = Instant::now();
        while start.elapsed() < for_at_most {
            if let Some(found) = self.receive().into_iter().find_map(&wanted) {
                return Some(found);
            }
        }
        None
    }

    fn request(&mut self, for_at_most: Duration) -> Option<Request> {
        self.wait_for(for_at_most, |message| match message {
            Inbound::Request(request, _) => Some(request),
            _ => None,
        })
    }

    /// Announces capacity, and that the site has the primary.
    fn announce(&mut self, reads_attempt_ages: bool) {
        self.link.send(Outbound::CapacityAnnouncement(CapacityAnnouncement {
            credits: vec![Credit { class: "order".into(), requests: 9 }],
            homes: vec![HomeAnnouncement { group: GROUP, has_primary: true }],
            reads_attempt_ages,
            ..CapacityAnnouncement::default()
        }));
    }

    fn answer(&mut self, number: u64, kind: ResponseKind) {
        let response = Response { number, kind: kind.into(), ..Response::default() };
        self.link.send(Outbound::Response(response, Vec::new()));
    }

    /// Sends a write under the number, and returns the kind of its response.
    fn forward(&mut self, request: Request, id: &str) -> ResponseKind {
        let number = request.number;
        self.link.send(Outbound::Request(request, named(&order(TIMEOUT_MS), id).into_bytes()));
        let kind = self.wait_for(LONG, |message| match message {
            Inbound::Response(response, _) if response.number == number => Some(response.kind()),
            _ => None,
        });
        kind.expect("a response")
    }
}

/// Starts site 1 with a member that is the primary, and a scripted gateway of site 0 that is linked to it. Returns also a
/// request for its gateway.
fn receiving_site(ledger: &Ledger) -> (Site, ScriptedGateway, Request) {
    ledger.home.store(1, Ordering::SeqCst);
    let mut site = Site::new(1, 1, ledger, deduplicated);
    site.start(&[(0, None)]);
    let (gateway, incarnation) = ScriptedGateway::greet(TcpStream::connect(site.links).unwrap(), 0);
    let request = Request {
        number: 1,
        receiver_incarnation: incarnation,
        class: "order".into(),
        group: GROUP,
        timeout_us: 3_000_000,
        visited: vec!["site0".into()],
        ..Request::default()
    };
    (site, gateway, request)
}

/// Guards against a receiver that takes a copy for a first attempt, in the frame or on the way to its router.
#[test]
fn a_request_whose_window_has_passed_is_not_attempted_by_its_receiver() {
    let ledger = Ledger::default();
    let (_site, mut gateway, request) = receiving_site(&ledger);
    let (late, early) = (new_id(), new_id());
    let ago = |earlier_attempt_ago_us| Request { earlier_attempt_ago_us, ..request.clone() };
    assert_eq!(gateway.forward(ago(WINDOW_MS * 1000), &late), ResponseKind::Rejected);
    assert_eq!(ledger.runs(&late), 0);
    let request = Request { number: 2, ..ago(1000) };
    assert_eq!(gateway.forward(request, &early), ResponseKind::Served);
    assert_eq!(ledger.runs(&early), 1);
}

/// A gateway of an earlier version states neither an age nor an announcement: its requests are served as before.
#[test]
fn a_request_of_an_earlier_version_is_served() {
    let ledger = Ledger::default();
    let (_site, mut gateway, request) = receiving_site(&ledger);
    let id = new_id();
    assert_eq!(gateway.forward(request, &id), ResponseKind::Served);
    assert_eq!(ledger.runs(&id), 1);
}

/// Starts site 0, which has no primary, and a scripted gateway of site 1 that it is linked to.
fn sending_site(reads_attempt_ages: bool) -> (Site, ScriptedGateway) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let ledger = Ledger::default();
    ledger.home.store(1, Ordering::SeqCst);
    let mut site = Site::new(0, 1, &ledger, deduplicated);
    site.start(&[(1, Some(listener.local_addr().unwrap()))]);
    // The site's other connection is not accepted, so that everything goes over this one.
    let (mut gateway, _) = ScriptedGateway::greet(listener.accept().unwrap().0, 1);
    gateway.announce(reads_attempt_ages);
    (site, gateway)
}

/// Guards against a sender that does not state the attempt that it knows of.
#[test]
fn a_copy_states_the_age_of_the_first_attempt() {
    let (site, mut gateway) = sending_site(true);
    let mut client = site.client();
    client.send(&order(TIMEOUT_MS));
    let first = gateway.request(LONG).expect("the request");
    assert_eq!(first.earlier_attempt_ago_us, 0);
    let received_at = Instant::now();
    gateway.wait_for(Duration::from_millis(100), |_| None::<()>);
    gateway.answer(first.number, ResponseKind::Failed);
    let copy = gateway.request(LONG).expect("a copy");
    let least = received_at.elapsed().min(Duration::from_millis(100));
    assert!(copy.earlier_attempt_ago_us >= least.as_micros() as u64, "{}", copy.earlier_attempt_ago_us);
}

/// Guards a fleet of two versions: the receiver would take the copy for a first attempt.
#[test]
fn no_copy_is_sent_to_a_gateway_of_an_earlier_version() {
    let (site, mut gateway) = sending_site(false);
    let mut client = site.client();
    client.send(&order(TIMEOUT_MS));
    let first = gateway.request(LONG).expect("the request");
    gateway.answer(first.number, ResponseKind::Failed);
    assert_eq!(gateway.request(Duration::from_millis(WINDOW_MS + 100)), None);
    assert_eq!(client.answer().expect("a final answer").code, "40003");
}
