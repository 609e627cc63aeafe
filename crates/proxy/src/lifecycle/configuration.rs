use std::net::SocketAddr;

use aldermill_flow_control::{Bounds, Least, PerAddress};
use aldermill_operator_config::{Council, Fellows, Gateway, Operator, Rate, SlowPeers, Warm};
use aldermill_settings::Decoded;
use serde::Deserialize;
use serde_json::Value;
use serde_json::value::RawValue;

use crate::discovery::endpoint_list::EndpointList;
use crate::lifecycle::errors::{ConfigurationError, ProgramError};
use crate::lifecycle::limits::{Descriptors, Limits};
use crate::shadow::ShadowRouter;

#[derive(Deserialize)]
struct Allowed {
    memory_mb: usize,
    sockets: usize,
}

#[derive(Deserialize)]
struct Form {
    name: String,
    listen: String,
    discovery: String,
    seed: String,
    limits: Box<RawValue>,
    known: Option<EndpointList>,
    settings: Box<RawValue>,
}

/// What the file says of that which cannot change while the program runs.
pub type Fixed = [(&'static str, Value); 10];

/// Where the configuration is, and the operator's own file if there is one.
pub struct Files {
    pub config: String,
    pub operator: Option<String>,
}

/// All that a driver is told at its start.
pub struct Start {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub seed: u64,
    pub limits: Limits,
    pub bounds: Bounds,
    pub gateway: Option<Gateway>,
    pub trial: Option<ShadowRouter>,
    pub warm: Option<Warm>,
    pub fellows: Option<Fellows>,
    pub council: Option<Council>,
    pub suspension: bool,
    pub memory: u64,
    pub known: Option<EndpointList>,
    pub decoded: Decoded,
    pub fixed: Fixed,
}

/// A variable of the process's environment; an empty one counts as not set.
pub fn environment(name: &str) -> Option<String> {
    std::env::var(name).ok().filter(|value| !value.is_empty())
}

fn address(field: &'static str, text: String) -> Result<SocketAddr, ConfigurationError> {
    text.parse().map_err(|_| ConfigurationError::Address { field, text })
}

impl Start {
    /// Reads the configuration; GW_NAME, GW_LISTEN and GW_DISCOVERY come before what it says.
    pub fn read(files: &Files, env: impl Fn(&str) -> Option<String>) -> Result<Start, ProgramError> {
        let text = |path: &String| {
            std::fs::read_to_string(path)
                .map_err(|source| ProgramError::UnreadableFile { path: path.clone(), source })
        };
        let operator = match &files.operator {
            Some(path) => Operator::parse(&text(path)?)
                .map_err(|source| ProgramError::OperatorFile { path: path.clone(), source })?,
            None => Operator::default(),
        };
        let unclear = |source| ProgramError::Configuration { path: files.config.clone(), source };
        let mut start = Start::parse(&text(&files.config)?, env, &operator).map_err(unclear)?;
        let path = || files.operator.as_ref().unwrap_or(&files.config).clone();
        if let Some(wanted) = &operator.trial {
            let trial = ShadowRouter::read(wanted, &start.decoded);
            start.trial =
                Some(trial.map_err(|source| ProgramError::ShadowSettings { path: path(), source })?);
        }
        // What the operator wants must hold one statement and one answer of full size.
        let sizes = (start.limits.statement as u64, start.limits.answer as u64);
        start.bounds = bounded(start.bounds, &operator.slow_peers);
        start.bounds.check(sizes.0, sizes.1).map_err(|(field, least)| {
            let (field, least) = match field {
                "per_address.connections" => ("per_address.connections", least),
                "per_address.room" => ("per_address.room_kib", least.div_ceil(1024)),
                "connection" => ("connection_kib", least.div_ceil(1024)),
                _ => ("room_kib", least.div_ceil(1024)),
            };
            ProgramError::FlowLimitTooLow { path: path(), field, minimum: least }
        })?;
        Ok(start)
    }

    fn parse(
        text: &str,
        env: impl Fn(&str) -> Option<String>,
        operator: &Operator,
    ) -> Result<Start, ConfigurationError> {
        let form: Form = serde_json::from_str(text).map_err(ConfigurationError::Form)?;
        let told = |variable: &str, field: String| env(variable).unwrap_or(field);
        let seed = u64::from_str_radix(&form.seed, 16);
        let Allowed { memory_mb, sockets } =
            serde_json::from_str(form.limits.get()).map_err(ConfigurationError::LimitsForm)?;
        if sockets < 64 {
            return Err(ConfigurationError::LimitTooLow { field: "sockets", value: sockets, minimum: 64 });
        }
        let descriptors = Descriptors::of_this_process(sockets);
        if descriptors.allowed < Descriptors::LEAST {
            let Descriptors { allowed, .. } = descriptors;
            return Err(ConfigurationError::TooFewDescriptors { allowed, minimum: Descriptors::LEAST });
        }
        if memory_mb < 16 {
            return Err(ConfigurationError::LimitTooLow {
                field: "memory_mb",
                value: memory_mb,
                minimum: 16,
            });
        }
        let decoded = Decoded::parse(form.settings.get()).map_err(ConfigurationError::Settings)?;
        let value = |raw: &RawValue| serde_json::from_str(raw.get()).unwrap_or_default();
        let fixed = [
            ("name", form.name.clone().into()),
            ("listen", form.listen.clone().into()),
            ("limits", value(&form.limits)),
            ("settings", value(&form.settings)),
            ("gateway", serde_json::to_value(&operator.gateway).unwrap_or_default()),
            ("slow_peers.buffer_kib", operator.slow_peers.buffer_kib.into()),
            ("warm", serde_json::to_value(&operator.warm).unwrap_or_default()),
            ("suspension", operator.suspension.into()),
            ("fellows", serde_json::to_value(&operator.fellows).unwrap_or_default()),
            ("council", serde_json::to_value(operator.council.as_ref().map(lasting)).unwrap_or_default()),
        ];
        Ok(Start {
            fixed,
            name: told("GW_NAME", form.name),
            listen: address("listen", told("GW_LISTEN", form.listen))?,
            discovery: address("discovery", told("GW_DISCOVERY", form.discovery))?,
            seed: seed.map_err(|_| ConfigurationError::Seed(form.seed))?,
            limits: Limits::new(descriptors, memory_mb, &decoded, operator.slow_peers.buffer_kib),
            bounds: Bounds::usual(memory_mb as u64 * 1024 * 1024),
            gateway: operator.gateway.clone(),
            trial: None,
            warm: operator.warm.clone(),
            fellows: operator.fellows.clone(),
            council: operator.council.clone(),
            suspension: operator.suspension,
            memory: memory_mb as u64 * 1024 * 1024,
            known: form.known,
            decoded,
        })
    }
}

/// A council without what may change while the program runs.
fn lasting(council: &Council) -> Council {
    Council { cuts: Default::default(), retire: Vec::new(), ..council.clone() }
}

/// The usual limits, but for what the operator's file says otherwise.
fn bounded(usual: Bounds, wanted: &SlowPeers) -> Bounds {
    const KIB: u64 = 1024;
    let micros = |millis: u32| i64::from(millis) * 1000;
    let least = |usual: Least, wanted: Rate| Least {
        rate: wanted.bytes_a_second.map_or(usual.rate, |rate| rate.max(1)),
        start: wanted.start_ms.map_or(usual.start, micros),
        window: wanted.window_ms.map_or(usual.window, micros),
    };
    let room = wanted.room_kib.map_or(usual.room, |kib| kib.saturating_mul(KIB));
    // Parts that the file does not name keep their proportion.
    let scaled = |part: u64| (part as f64 / usual.room as f64 * room as f64) as u64;
    let share = |share: f64| (share.clamp(0.0, 1.0) * room as f64) as u64;
    Bounds {
        room,
        connection: wanted.connection_kib.map_or(scaled(usual.connection), |kib| kib.saturating_mul(KIB)),
        address: wanted.per_address.map(|most| PerAddress {
            connections: most.connections as usize,
            room: most.room_kib.saturating_mul(KIB),
        }),
        reserve: wanted.best_paid_share.map_or(scaled(usual.reserve), share),
        short: wanted.short.map_or((scaled(usual.short.0), scaled(usual.short.1)), |short| {
            (share(short.enter), share(short.leave))
        }),
        reading: least(usual.reading, wanted.reading),
        sending: least(usual.sending, wanted.sending),
        answering: least(usual.answering, wanted.answering),
        taking: least(usual.taking, wanted.taking),
        patience: wanted.patience_ms.map_or(usual.patience, micros),
        overdue: wanted.overdue_ms.map_or(usual.overdue, micros),
        lingering: wanted.lingering_ms.map_or(usual.lingering, micros),
        stopping: wanted.stopping_ms.map_or(usual.stopping, micros),
    }
}
