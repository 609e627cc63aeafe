use std::net::SocketAddr;

use aldermill_flow_control::{AddressLimits, FlowLimits, FlowLimitsError, MinimumRate, PressureThresholds};
use aldermill_operator_config::{
    CoordinationConfig, GatewayConfig, MembershipConfig, MinimumRate as MinimumRateConfig, Operator,
    SlowPeersConfig, WarmStartConfig,
};
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
    pub bounds: FlowLimits,
    pub gateway: Option<GatewayConfig>,
    pub trial: Option<ShadowRouter>,
    pub warm: Option<WarmStartConfig>,
    pub fellows: Option<MembershipConfig>,
    pub council: Option<CoordinationConfig>,
    pub suspension: bool,
    pub memory: u64,
    pub known: Option<EndpointList>,
    pub decoded: Decoded,
    pub fixed: Fixed,
}

fn address(field: &'static str, text: String) -> Result<SocketAddr, ConfigurationError> {
    text.parse().map_err(|_| ConfigurationError::Address { field, text })
}

impl Start {
    /// Reads the configuration; GW_NAME, GW_LISTEN and GW_DISCOVERY come before what it says.
    pub fn read(files: &Files, env: impl Fn(&str) -> Option<String>) -> Result<Start, ProgramError> {
        let text = |path: &String| {
            std::fs::read_to_string(path).map_err(|why| ProgramError::File { path: path.clone(), why })
        };
        let operator = match &files.operator {
            Some(path) => Operator::parse(&text(path)?)
                .map_err(|why| ProgramError::Operator { path: path.clone(), why })?,
            None => Operator::default(),
        };
        let unclear = |why| ProgramError::Config { path: files.config.clone(), why };
        let mut start = Start::parse(&text(&files.config)?, env, &operator).map_err(unclear)?;
        let path = || files.operator.as_ref().unwrap_or(&files.config).clone();
        if let Some(wanted) = &operator.shadow {
            let trial = ShadowRouter::load(wanted, &start.decoded);
            start.trial = Some(trial.map_err(|why| ProgramError::Trial { path: path(), why })?);
        }
        // What the operator wants must hold one statement and one answer of full size.
        let sizes = (start.limits.buffers.statement as u64, start.limits.buffers.response as u64);
        start.bounds = bounded(start.bounds, &operator.slow_peers);
        start.bounds.validate(sizes.0, sizes.1).map_err(|why| {
            let (field, least) = match why {
                FlowLimitsError::ConnectionsPerAddress { minimum } => ("per_address.connections", minimum),
                FlowLimitsError::PerAddress { minimum } => ("per_address.room_kib", minimum.div_ceil(1024)),
                FlowLimitsError::PerConnection { minimum } => ("connection_kib", minimum.div_ceil(1024)),
                FlowLimitsError::Budget { minimum } => ("room_kib", minimum.div_ceil(1024)),
            };
            ProgramError::Little { path: path(), field, least }
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
            serde_json::from_str(form.limits.get()).map_err(ConfigurationError::Limits)?;
        if sockets < 64 {
            return Err(ConfigurationError::Little { field: "sockets", value: sockets, least: 64 });
        }
        let descriptors = Descriptors::of_this_process(sockets);
        if descriptors.allowed < Descriptors::LEAST {
            let Descriptors { allowed, .. } = descriptors;
            return Err(ConfigurationError::FewDescriptors { allowed, least: Descriptors::LEAST });
        }
        if memory_mb < 16 {
            return Err(ConfigurationError::Little { field: "memory_mb", value: memory_mb, least: 16 });
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
            ("warm", serde_json::to_value(&operator.warm_start).unwrap_or_default()),
            ("suspension", operator.suspension.into()),
            ("fellows", serde_json::to_value(&operator.membership).unwrap_or_default()),
            (
                "council",
                serde_json::to_value(operator.coordination.as_ref().map(lasting)).unwrap_or_default(),
            ),
        ];
        Ok(Start {
            fixed,
            name: told("GW_NAME", form.name),
            listen: address("listen", told("GW_LISTEN", form.listen))?,
            discovery: address("discovery", told("GW_DISCOVERY", form.discovery))?,
            seed: seed.map_err(|_| ConfigurationError::Seed(form.seed))?,
            limits: Limits::new(descriptors, memory_mb, &decoded, operator.slow_peers.buffer_kib),
            bounds: FlowLimits::for_memory(memory_mb as u64 * 1024 * 1024),
            gateway: operator.gateway.clone(),
            trial: None,
            warm: operator.warm_start.clone(),
            fellows: operator.membership.clone(),
            council: operator.coordination.clone(),
            suspension: operator.suspension,
            memory: memory_mb as u64 * 1024 * 1024,
            known: form.known,
            decoded,
        })
    }
}

/// A council without what may change while the program runs.
fn lasting(council: &CoordinationConfig) -> CoordinationConfig {
    CoordinationConfig { cuts: Default::default(), site_drain: Vec::new(), ..council.clone() }
}

/// The usual limits, but for what the operator's file says otherwise.
fn bounded(usual: FlowLimits, wanted: &SlowPeersConfig) -> FlowLimits {
    const KIB: u64 = 1024;
    let micros = |millis: u32| i64::from(millis) * 1000;
    let least = |usual: MinimumRate, wanted: MinimumRateConfig| MinimumRate {
        bytes_per_second: wanted.bytes_a_second.map_or(usual.bytes_per_second, |rate| rate.max(1)),
        start_allowance: wanted.start_ms.map_or(usual.start_allowance, micros),
        pause_allowance: wanted.window_ms.map_or(usual.pause_allowance, micros),
    };
    let room = wanted.room_kib.map_or(usual.budget, |kib| kib.saturating_mul(KIB));
    // Parts that the file does not name keep their proportion.
    let scaled = |part: u64| (part as f64 / usual.budget as f64 * room as f64) as u64;
    let share = |share: f64| (share.clamp(0.0, 1.0) * room as f64) as u64;
    FlowLimits {
        budget: room,
        per_connection: wanted
            .connection_kib
            .map_or(scaled(usual.per_connection), |kib| kib.saturating_mul(KIB)),
        per_address: wanted.per_address.map(|most| AddressLimits {
            connections: most.connections as usize,
            budget: most.room_kib.saturating_mul(KIB),
        }),
        priority_reserve: wanted.best_paid_share.map_or(scaled(usual.priority_reserve), share),
        pressure: match wanted.short {
            Some(short) => PressureThresholds { enter: share(short.enter), leave: share(short.leave) },
            None => PressureThresholds {
                enter: scaled(usual.pressure.enter),
                leave: scaled(usual.pressure.leave),
            },
        },
        to_client: least(usual.to_client, wanted.reading),
        from_client: least(usual.from_client, wanted.sending),
        from_member: least(usual.from_member, wanted.answering),
        to_member: least(usual.to_member, wanted.taking),
        reservation_timeout: wanted.patience_ms.map_or(usual.reservation_timeout, micros),
        max_time_behind: wanted.overdue_ms.map_or(usual.max_time_behind, micros),
        linger: wanted.lingering_ms.map_or(usual.linger, micros),
        shutdown_grace: wanted.stopping_ms.map_or(usual.shutdown_grace, micros),
    }
}
