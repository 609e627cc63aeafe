//! The settings as the programs around the router use them.

use std::collections::HashMap;

use aldermill_routing::{Micros, RouterConfig};

use crate::SettingsError;
use crate::router_config::{router_config, validate};
use crate::sections::{Message as Document, Tenant as AccountSection};
use crate::values::{micros_from_millis, span, unknown};

/// The only account of a deployment whose settings name none.
const DEFAULT_ACCOUNT: &str = "0";
/// The size of a member where the list's numbers are not sizes.
const DEFAULT_MEMBER_SIZE: f64 = 1.0;

/// The settings of a deployment: the router's configuration, and what its caller needs beside it.
pub struct Settings {
    /// The router's own configuration.
    pub router_config: RouterConfig,
    /// How long a connection may be idle before the member closes it, in microseconds (`limits.connIdleMs`).
    pub member_idle_timeout: Micros,
    /// How long a connection to a member may take to open, in microseconds (`limits.connectTimeoutMs`).
    pub connect_timeout: Micros,
    /// How long after its drain was announced, or could have been, a member may still be sent new requests, in
    /// microseconds (`rules.drainGraceMs`).
    pub drain_grace: Micros,
    /// Requests that one router may hold at once (`limits.maxOpen`).
    pub max_open_requests: usize,
    /// Whether a request that may be repeated may have two attempts at once (`limits.mayDuplicate`).
    pub duplicate_attempts_allowed: bool,
    /// The bench's clock where positions are zero, in microseconds (`familyInfo.positionZeroMs`).
    pub position_origin: Micros,
    class_indices: HashMap<String, usize>,
    zones: Vec<String>,
    accounts: Vec<String>,
    listed_weights_are_sizes: bool,
}

impl Settings {
    /// Reads settings from their JSON text. Keys that are not known are passed over.
    ///
    /// # Errors
    ///
    /// [`SettingsError`] with the first field that cannot be used.
    pub fn parse(text: &str) -> Result<Settings, SettingsError> {
        let document: Document = serde_json::from_str(text)?;
        validate(&document)?;
        Ok(Settings {
            router_config: router_config(&document)?,
            member_idle_timeout: span("limits.connIdleMs", document.limits.member_idle_timeout_ms)?,
            connect_timeout: span("limits.connectTimeoutMs", document.limits.connect_timeout_ms)?,
            drain_grace: span("rules.drainGraceMs", document.member_rules.drain_grace_ms)?,
            max_open_requests: document.limits.max_open_requests,
            duplicate_attempts_allowed: document.limits.duplicate_attempts_allowed,
            position_origin: micros_from_millis(document.replication.position_origin_ms),
            class_indices: class_indices(&document),
            listed_weights_are_sizes: matches!(document.listed_weights.as_str(), "nominal" | "rough"),
            accounts: account_names(document.accounts),
            zones: document.zones,
        })
    }

    /// The index of the request class with that name.
    ///
    /// # Errors
    ///
    /// [`SettingsError::UnknownValue`] for the field `service` if the settings have no such class.
    pub fn class_index(&self, name: &str) -> Result<usize, SettingsError> {
        self.class_indices.get(name).copied().map_or_else(|| unknown("service", name), Ok)
    }

    /// Checks that a request's account is one that the settings name.
    ///
    /// # Errors
    ///
    /// [`SettingsError::UnknownValue`] for the field `account` if it is not.
    pub fn check_account(&self, name: &str) -> Result<(), SettingsError> {
        let is_default = self.accounts.is_empty() && name == DEFAULT_ACCOUNT;
        if is_default || self.accounts.iter().any(|account| account == name) {
            return Ok(());
        }
        unknown("account", name)
    }

    /// The zones' names, by the index that the router's configuration uses.
    pub fn zones(&self) -> &[String] {
        &self.zones
    }

    /// The request classes' names, by the index that the router's configuration uses.
    pub fn class_names(&self) -> Vec<String> {
        let mut names = vec![String::new(); self.router_config.classes.len()];
        for (name, &index) in &self.class_indices {
            names[index].clone_from(name);
        }
        names
    }

    /// The names of the request classes with the highest priority weight, in no order.
    pub fn highest_priority_classes(&self) -> Vec<String> {
        let classes = &self.router_config.classes;
        let highest = classes.iter().map(|class| class.priority_weight).fold(f64::NEG_INFINITY, f64::max);
        let with_highest =
            self.class_indices.iter().filter(|&(_, &index)| classes[index].priority_weight >= highest);
        with_highest.map(|(name, _)| name.clone()).collect()
    }

    /// A member's size compared with other members', from its number in the endpoint list; 1 where the list's numbers
    /// are not sizes.
    pub fn member_size(&self, listed_weight: f64) -> f64 {
        if self.listed_weights_are_sizes && listed_weight > 0.0 { listed_weight } else { DEFAULT_MEMBER_SIZE }
    }

    /// The index of the zone with that name. All unknown zones share an index that no known zone has, and that this
    /// router's own zone does not have either when it is unknown.
    pub fn zone_index(&self, name: &str) -> usize {
        self.zones.iter().position(|zone| zone == name).unwrap_or(self.zones.len() + 1)
    }
}

/// The index of each request class; of classes with the same name the last one counts.
fn class_indices(document: &Document) -> HashMap<String, usize> {
    let names = document.request_classes.iter().map(|section| section.name.clone());
    names.enumerate().map(|(index, name)| (name, index)).collect()
}

fn account_names(accounts: Vec<AccountSection>) -> Vec<String> {
    accounts.into_iter().map(|account| account.name).collect()
}
