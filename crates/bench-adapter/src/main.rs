//! Puts the routing decisions on the bench's wire: lines in, calls on the router, results out.

#![allow(
    clippy::cognitive_complexity,
    clippy::too_many_lines,
    reason = "long functions are split when this package is reworked for readers (docs/ROADMAP.md)"
)]

mod error;
mod wire;

use std::collections::HashMap;
use std::io::{BufRead, Write};
use std::process::ExitCode;

use aldermill_routing::{
    Action, Actions, ListedMember, MemberId, MemberReport, Micros, Outcome, Request, RequestHandle, Role,
    Router, Standing,
};
use aldermill_settings::Settings;
use error::MessageError;
use wire::Fields;

/// One line of a sheet, as it stands there.
struct Item {
    primary: bool,
    hint: f64,
    standing: Standing,
    name: String,
    group: u64,
    hall: String,
    since: Option<Micros>,
}

impl Item {
    fn parse(fields: &mut Fields) -> Result<Item, MessageError> {
        let item = Item {
            primary: fields.number("primary")? >= 1.0,
            hint: fields.number("powerHint")?,
            standing: fields.standing("condition")?,
            name: fields.text("member")?.to_owned(),
            group: fields.integer("cluster")?,
            hall: fields.text("hall")?.to_owned(),
            since: fields.optional_time("onlineSinceMs")?.filter(|&since| since > 0),
        };
        fields.skip("shape")?;
        Ok(item)
    }
}

/// One driver: its router and the names that the wire uses for what the router numbers.
struct Driver {
    router: Router,
    decoded: Settings,
    member_ids: HashMap<String, MemberId>,
    member_names: Vec<String>,
    handles: HashMap<u64, RequestHandle>,
    tickets: HashMap<RequestHandle, u64>,
    armed: Option<Micros>,
    timers: u64,
}

impl Driver {
    fn new(settings: &str, seed: u64, now: Micros) -> Result<Driver, MessageError> {
        let decoded = Settings::parse(settings)?;
        Ok(Driver {
            router: Router::start(decoded.router_config.clone(), seed, now),
            decoded,
            member_ids: HashMap::new(),
            member_names: Vec::new(),
            handles: HashMap::new(),
            tickets: HashMap::new(),
            armed: None,
            timers: 0,
        })
    }

    fn member(&mut self, name: &str) -> MemberId {
        if let Some(&id) = self.member_ids.get(name) {
            return id;
        }
        let id = self.member_names.len();
        self.member_ids.insert(name.to_owned(), id);
        self.member_names.push(name.to_owned());
        id
    }

    fn list(&mut self, items: &[Item]) -> Vec<ListedMember> {
        let listed = |item: &Item| ListedMember {
            member: self.member(&item.name),
            name: item.name.clone(),
            group: item.group,
            zone: self.decoded.zone_index(&item.hall),
            standing: item.standing,
            since: item.since,
            size: self.decoded.member_size(item.hint),
            primary: item.primary,
        };
        items.iter().map(listed).collect()
    }

    fn encode(&mut self, who: u32, now: Micros, actions: Actions, reply: &mut wire::Reply) {
        for (handle, step) in actions.requests {
            let Some(&ticket) = self.tickets.get(&handle) else { continue };
            match step {
                Action::Attempt { member, timeout, afresh, .. } => {
                    if afresh {
                        reply.shut_idle(who, &self.member_names[member]);
                    }
                    reply.call_out(who, ticket, &self.member_names[member], timeout)
                }
                Action::Reject { retry_after } => reply.turn_away(who, ticket, retry_after),
                Action::Fail => reply.error(who, ticket),
            }
            self.release(handle);
        }
        for member in actions.health_checks {
            reply.poll(who, &self.member_names[member]);
        }
        for member in actions.shut {
            reply.shut_idle(who, &self.member_names[member]);
        }
        if actions.subscribe {
            reply.stream_changes(who);
        }
        if let Some(at) = actions.wake_at
            && self.armed.is_none_or(|armed| armed <= now || at < armed)
        {
            self.timers += 1;
            self.armed = Some(at);
            reply.defer(who, at - now, self.timers);
        }
    }

    /// What an answer's note and a load report say; the newer position of the two.
    fn report(&self, stand: Option<u64>, load: Option<&str>) -> Result<MemberReport, MessageError> {
        let pairs = load.into_iter().flat_map(|load| load.split(','));
        let pairs = pairs.map(|pair| pair.split_once(':').unwrap_or((pair, "")));
        let mut report = aldermill_settings::parse_load_report(pairs, self.decoded.position_origin)?;
        if let Some(stand) = stand.filter(|&stand| stand > 0) {
            report.role = match stand % 4 {
                1 => Some(Role::Primary),
                2 => Some(Role::Replica),
                _ => report.role,
            };
            if stand >= 4 {
                let position = self.decoded.position_origin + (stand / 4) as Micros * 1000;
                report.position = report.position.max(Some(position));
            }
        }
        Ok(report)
    }

    /// Drops the names of a request of which nothing more can be heard.
    fn release(&mut self, handle: RequestHandle) {
        if !self.router.knows(handle)
            && let Some(ticket) = self.tickets.remove(&handle)
        {
            self.handles.remove(&ticket);
        }
    }
}

#[derive(Default)]
struct Drill {
    now: Micros,
    drivers: HashMap<u32, Driver>,
    sheets: HashMap<u64, Vec<Item>>,
    /// The sheet being read and how many of its lines are still to come.
    open_sheet: Option<(u64, usize)>,
    reply: wire::Reply,
}

impl Drill {
    fn line(&mut self, line: &str, out: &mut impl Write) -> Result<(), MessageError> {
        let mut fields = Fields::new(line);
        let verb = fields.verb();
        if let Some((page, left)) = self.open_sheet {
            if verb != "ITEM" {
                return Err(MessageError::new("ITEM", "a sheet's line is missing here"));
            }
            let items = self.sheets.entry(page).or_default();
            items.push(Item::parse(&mut fields)?);
            self.open_sheet = (left > 1).then_some((page, left - 1));
            return Ok(());
        }
        match verb {
            "MARK" => self.now = fields.time("clock")?,
            "GO" => self.reply.finish(out).map_err(|error| MessageError::new("reply", &error.to_string()))?,
            "SHEET" => {
                let page = fields.integer("page")?;
                let lines = fields.integer("lines")? as usize;
                self.sheets.insert(page, Vec::with_capacity(lines.min(4096)));
                self.open_sheet = (lines > 0).then_some((page, lines));
            }
            "SPAWN" => {
                let who = fields.instance()?;
                let seed = fields.integer("initSeed")?;
                let driver = Driver::new(&fields.rest(), seed, self.now)?;
                self.drivers.insert(who, driver);
            }
            "HALT" => {
                self.drivers.remove(&fields.instance()?);
            }
            "UPDATE" | "ORDER" | "OUTCOME" | "ABANDONED" | "PONG" | "FIRED" => {
                self.event(verb, &mut fields)?
            }
            // Streams and messages between drivers are not used here; nothing follows from them.
            "STARTED" | "PEER_DATA" => {
                fields.instance()?;
            }
            other => return Err(MessageError::new(other, "unknown message")),
        }
        Ok(())
    }

    fn event(&mut self, verb: &str, fields: &mut Fields) -> Result<(), MessageError> {
        let now = self.now;
        let who = fields.instance()?;
        let Some(driver) = self.drivers.get_mut(&who) else { return Ok(()) };
        let actions = match verb {
            "UPDATE" => {
                fields.skip("serial")?;
                let page = fields.optional("page")?;
                match fields.text("form")? {
                    "unavailable" => driver.router.list_unavailable(now),
                    form => {
                        let full = match form {
                            "update" => false,
                            "replace" | "restored" => true,
                            _ => return Err(MessageError::new("form", "unknown kind of list")),
                        };
                        let page = page.and_then(|page| page.parse().ok());
                        let items = page.and_then(|page: u64| self.sheets.get(&page));
                        let items = items.ok_or(MessageError::new("page", "no such sheet"))?;
                        let lines = driver.list(items);
                        driver.router.list(now, full, lines)
                    }
                }
            }
            "ORDER" => {
                let ticket = fields.integer("ticket")?;
                let class = driver.decoded.class_index(fields.text("service")?)?;
                fields
                    .optional("account")?
                    .map_or(Ok(()), |account| driver.decoded.check_account(account))?;
                let session = fields.optional("session")?.map(str::to_owned);
                let ttl = fields.time("ttlMs")?;
                fields.skip("workMs")?;
                let group = fields.integer("partitionNo")?;
                let last_write = fields.optional_time("lastWriteMs")?.filter(|&ago| ago > 0);
                let repeat = fields.optional_integer("options")?.unwrap_or(0) & 2 != 0;
                let request = Request { class, group, ttl, waited: 0, session, last_write, repeat };
                let (handle, actions) = driver.router.take(now, request);
                driver.handles.insert(ticket, handle);
                driver.tickets.insert(handle, ticket);
                actions
            }
            "OUTCOME" => {
                let ticket = fields.integer("ticket")?;
                fields.skip("roundNo")?;
                fields.skip("member")?;
                let took = fields.time("timeTakenMs")?;
                let verdict = fields.verdict("how")?;
                let stand = fields.optional_integer("stand")?;
                let closed = fields.flag("closed")?;
                let load = fields.optional("load")?;
                let report = driver.report(stand, load)?;
                let Some(&handle) = driver.handles.get(&ticket) else { return Ok(()) };
                let outcome = Outcome { verdict, took, report, closed };
                let actions = handle.ended(&mut driver.router, now, outcome);
                driver.encode(who, now, actions, &mut self.reply);
                driver.release(handle);
                return Ok(());
            }
            "ABANDONED" => {
                let ticket = fields.integer("ticket")?;
                let Some(&handle) = driver.handles.get(&ticket) else { return Ok(()) };
                let actions = handle.left(&mut driver.router, now);
                driver.encode(who, now, actions, &mut self.reply);
                driver.release(handle);
                return Ok(());
            }
            "PONG" => {
                let name = fields.text("member")?;
                let verdict = fields.verdict("how")?;
                let took = fields.time("timeTakenMs")?;
                let report = driver.report(None, fields.optional("load")?)?;
                let member = driver.member(name);
                driver.router.health_checked(now, member, verdict, took, report)
            }
            _ => {
                fields.integer("name")?;
                driver.router.wake(now)
            }
        };
        driver.encode(who, now, actions, &mut self.reply);
        Ok(())
    }
}

fn main() -> ExitCode {
    let mut drill = Drill::default();
    let mut input = std::io::stdin().lock();
    let mut out = std::io::stdout().lock();
    let mut line = String::new();
    let mut number = 0u64;
    loop {
        line.clear();
        number += 1;
        let result = match input.read_line(&mut line) {
            Ok(0) => return ExitCode::SUCCESS,
            Ok(_) => drill.line(line.trim_end_matches(['\n', '\r']), &mut out),
            Err(error) => Err(MessageError::new("input", &error.to_string())),
        };
        if let Err(trouble) = result {
            let verb = line.split('\t').next().unwrap_or_default().trim_end();
            eprintln!("line {number}, message {verb}: {trouble}");
            return ExitCode::FAILURE;
        }
    }
}
