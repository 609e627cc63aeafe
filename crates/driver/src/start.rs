use std::net::SocketAddr;

use aldermill_terms::Decoded;
use serde::Deserialize;
use serde_json::Value;
use serde_json::value::RawValue;

use crate::catalog::Catalog;
use crate::limits::Limits;

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
    known: Option<Catalog>,
    settings: Box<RawValue>,
}

/// What the file says of that which cannot change while the program runs.
pub type Fixed = [(&'static str, Value); 4];

/// All that a driver is told at its start.
pub struct Start {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub seed: u64,
    pub limits: Limits,
    pub known: Option<Catalog>,
    pub decoded: Decoded,
    pub fixed: Fixed,
}

fn address(field: &str, text: &str) -> Result<SocketAddr, String> {
    text.parse().map_err(|_| format!("{field}: {text:?} is no address with a port"))
}

impl Start {
    /// Reads the configuration; GW_NAME, GW_LISTEN and GW_DISCOVERY come before what it says.
    pub fn read(path: &str, env: impl Fn(&str) -> Option<String>) -> Result<Start, String> {
        let text = std::fs::read_to_string(path).map_err(|error| format!("{path}: {error}"))?;
        Start::parse(&text, env).map_err(|why| format!("{path}: {why}"))
    }

    fn parse(text: &str, env: impl Fn(&str) -> Option<String>) -> Result<Start, String> {
        let form: Form = serde_json::from_str(text).map_err(|error| error.to_string())?;
        let told = |variable: &str, field: String| env(variable).unwrap_or(field);
        let seed = u64::from_str_radix(&form.seed, 16);
        let Allowed { memory_mb, sockets } =
            serde_json::from_str(form.limits.get()).map_err(|error| format!("limits: {error}"))?;
        if sockets < 64 {
            return Err(format!("limits.sockets: {sockets} is too few, 64 are needed"));
        }
        if memory_mb < 16 {
            return Err(format!("limits.memory_mb: {memory_mb} is too little, 16 are needed"));
        }
        let decoded =
            Decoded::parse(form.settings.get()).map_err(|trouble| format!("settings: {trouble}"))?;
        let value = |raw: &RawValue| serde_json::from_str(raw.get()).unwrap_or_default();
        let fixed = [
            ("name", form.name.clone().into()),
            ("listen", form.listen.clone().into()),
            ("limits", value(&form.limits)),
            ("settings", value(&form.settings)),
        ];
        Ok(Start {
            fixed,
            name: told("GW_NAME", form.name),
            listen: address("listen", &told("GW_LISTEN", form.listen))?,
            discovery: address("discovery", &told("GW_DISCOVERY", form.discovery))?,
            seed: seed.map_err(|_| format!("seed: {:?} is no hexadecimal number", form.seed))?,
            limits: Limits::new(sockets, memory_mb, &decoded),
            known: form.known,
            decoded,
        })
    }
}
