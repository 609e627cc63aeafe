//! Reads and checks the configuration, the operator's file and the environment variables that override the
//! configuration.

use std::net::SocketAddr;

use aldermill_flow_control::FlowLimits;
use aldermill_operator_config::Operator;
use aldermill_settings::Settings;
use serde::Deserialize;
use serde_json::Value;
use serde_json::value::RawValue;

use crate::discovery::endpoint_list::EndpointList;
use crate::lifecycle::errors::{ConfigurationError, ProgramError};
use crate::lifecycle::flow_limits;
use crate::lifecycle::immutable_fields::{ImmutableField, ImmutableFields};
use crate::lifecycle::limits::{DescriptorLimits, Limits};
use crate::shadow::ShadowRouter;

/// Minimum value of `limits.sockets`.
const MIN_SOCKETS: usize = 64;
/// Minimum value of `limits.memory_mb`.
const MIN_MEMORY_MB: usize = 16;
/// Bytes in the unit of `limits.memory_mb`.
const BYTES_PER_MB: u64 = 1024 * 1024;

/// Paths of the configuration and of the operator's file.
pub struct ConfigurationFiles {
    /// Path of the configuration.
    pub config: String,
    /// Path of the operator's file; `None` if there is none.
    pub operator: Option<String>,
}

impl ConfigurationFiles {
    /// Returns the path to report for an error in the operator's options: the operator's file, or the configuration
    /// if there is none.
    fn operator_or_config(&self) -> String {
        self.operator.as_ref().unwrap_or(&self.config).clone()
    }
}

/// The content of the configuration file.
#[derive(Deserialize)]
struct ConfigurationDocument {
    name: String,
    /// Address with a port.
    listen: String,
    /// Address with a port.
    discovery: String,
    /// Up to 16 hexadecimal digits.
    seed: String,
    /// See [`PlatformLimits`].
    limits: Box<RawValue>,
    /// Endpoint list at the time when the file was written.
    known: Option<EndpointList>,
    /// Parsed by [`Settings::parse`].
    settings: Box<RawValue>,
}

impl ConfigurationDocument {
    /// Returns the fields that cannot change while the process runs.
    fn immutable_fields(&self) -> Vec<ImmutableField> {
        vec![
            ImmutableField::new("name", &self.name),
            ImmutableField::new("listen", &self.listen),
            ImmutableField::new("limits", &parse_json(&self.limits)),
            ImmutableField::new("settings", &parse_json(&self.settings)),
        ]
    }
}

/// The resources that the platform gives the process: `limits` in the configuration.
#[derive(Deserialize)]
struct PlatformLimits {
    /// Memory, in units of 1024 * 1024 bytes.
    memory_mb: usize,
    /// Maximum number of open files.
    sockets: usize,
}

impl PlatformLimits {
    /// Parses the limits, and checks them and the operating system's limit on open files.
    fn parse(text: &RawValue) -> Result<(PlatformLimits, DescriptorLimits), ConfigurationError> {
        let limits: PlatformLimits =
            serde_json::from_str(text.get()).map_err(ConfigurationError::LimitsFormat)?;
        check_minimum("sockets", limits.sockets, MIN_SOCKETS)?;
        let descriptors = DescriptorLimits::for_current_process(limits.sockets);
        if descriptors.allowed < DescriptorLimits::MINIMUM {
            let allowed = descriptors.allowed;
            return Err(ConfigurationError::TooFewDescriptors {
                allowed,
                minimum: DescriptorLimits::MINIMUM,
            });
        }
        check_minimum("memory_mb", limits.memory_mb, MIN_MEMORY_MB)?;
        Ok((limits, descriptors))
    }
}

/// The checked configuration of the process.
pub struct Configuration {
    /// Name of this process, which is unique in the fleet.
    pub name: String,
    /// Address at which clients are accepted.
    pub listen: SocketAddr,
    /// Address of discovery.
    pub discovery: SocketAddr,
    /// Seed of all random choices.
    pub seed: u64,
    /// Memory that the process may use, in bytes.
    pub memory: u64,
    /// Sizes, counts and durations that bound the process.
    pub limits: Limits,
    /// Limits on slow peers and on the data buffered for them.
    pub flow_limits: FlowLimits,
    /// Endpoint list in the configuration file, for use until discovery responds; `None` if the file has none.
    pub endpoint_list: Option<EndpointList>,
    /// Settings of the deployment.
    pub settings: Settings,
    /// Router for shadow evaluation of other settings, whose decisions are only compared and counted; `None` if the
    /// operator's file does not ask for it.
    pub shadow: Option<ShadowRouter>,
    /// Content of the operator's file, or the defaults if there is none.
    pub operator: Operator,
    /// Fields that cannot change on a reload.
    pub immutable: ImmutableFields,
}

impl Configuration {
    /// Reads both files. `environment` looks up an environment variable; `GW_NAME`, `GW_LISTEN` and `GW_DISCOVERY`
    /// take precedence over the configuration.
    ///
    /// # Errors
    ///
    /// Fails if a file cannot be read or its content is invalid.
    pub fn read(
        files: &ConfigurationFiles,
        environment: impl Fn(&str) -> Option<String>,
    ) -> Result<Configuration, ProgramError> {
        let operator = read_operator_file(files.operator.as_deref())?;
        let text = read_file(&files.config)?;
        let mut configuration = Configuration::parse(&text, environment, operator)
            .map_err(|source| ProgramError::Configuration { path: files.config.clone(), source })?;
        configuration.read_shadow_settings(files)?;
        configuration.apply_slow_peers(files)?;
        Ok(configuration)
    }

    /// Parses the text of the configuration file. The result lacks the shadow settings and the operator's limits on
    /// slow peers.
    fn parse(
        text: &str,
        environment: impl Fn(&str) -> Option<String>,
        operator: Operator,
    ) -> Result<Configuration, ConfigurationError> {
        let document: ConfigurationDocument =
            serde_json::from_str(text).map_err(ConfigurationError::Format)?;
        let (platform, descriptors) = PlatformLimits::parse(&document.limits)?;
        let settings = Settings::parse(document.settings.get()).map_err(ConfigurationError::Settings)?;
        let immutable = ImmutableFields::new(document.immutable_fields(), &operator);
        let memory = platform.memory_mb as u64 * BYTES_PER_MB;
        let buffer_kib = operator.slow_peers.buffer_kib;
        Ok(Configuration {
            name: environment("GW_NAME").unwrap_or(document.name),
            listen: parse_address("listen", environment("GW_LISTEN").unwrap_or(document.listen))?,
            discovery: parse_address("discovery", environment("GW_DISCOVERY").unwrap_or(document.discovery))?,
            seed: u64::from_str_radix(&document.seed, 16)
                .map_err(|_| ConfigurationError::Seed(document.seed))?,
            memory,
            limits: Limits::new(descriptors, platform.memory_mb, &settings, buffer_kib),
            flow_limits: FlowLimits::for_memory(memory),
            endpoint_list: document.known,
            settings,
            shadow: None,
            operator,
            immutable,
        })
    }

    /// Loads the settings for shadow evaluation if the operator's file names any.
    fn read_shadow_settings(&mut self, files: &ConfigurationFiles) -> Result<(), ProgramError> {
        let Some(config) = &self.operator.shadow else { return Ok(()) };
        let shadow = ShadowRouter::load(config, &self.settings)
            .map_err(|source| ProgramError::ShadowSettings { path: files.operator_or_config(), source })?;
        self.shadow = Some(shadow);
        Ok(())
    }

    /// Applies the operator's limits on slow peers, which must leave room for one full-size statement and one
    /// full-size response.
    fn apply_slow_peers(&mut self, files: &ConfigurationFiles) -> Result<(), ProgramError> {
        self.flow_limits = flow_limits::apply(self.flow_limits, &self.operator.slow_peers);
        let buffers = &self.limits.buffers;
        flow_limits::check(&self.flow_limits, buffers.max_statement, buffers.max_response).map_err(|error| {
            let path = files.operator_or_config();
            ProgramError::FlowLimitTooLow { path, field: error.field, minimum: error.minimum }
        })
    }
}

/// Returns the value of an environment variable, or `None` if it is not set or empty.
pub fn environment(name: &str) -> Option<String> {
    std::env::var(name).ok().filter(|value| !value.is_empty())
}

fn read_file(path: &str) -> Result<String, ProgramError> {
    std::fs::read_to_string(path)
        .map_err(|source| ProgramError::UnreadableFile { path: path.to_owned(), source })
}

fn read_operator_file(path: Option<&str>) -> Result<Operator, ProgramError> {
    let Some(path) = path else { return Ok(Operator::default()) };
    Operator::parse(&read_file(path)?)
        .map_err(|source| ProgramError::OperatorFile { path: path.to_owned(), source })
}

fn parse_address(field: &'static str, text: String) -> Result<SocketAddr, ConfigurationError> {
    text.parse().map_err(|_| ConfigurationError::Address { field, text })
}

fn check_minimum(field: &'static str, value: usize, minimum: usize) -> Result<(), ConfigurationError> {
    if value < minimum {
        return Err(ConfigurationError::LimitTooLow { field, value, minimum });
    }
    Ok(())
}

fn parse_json(text: &RawValue) -> Value {
    serde_json::from_str(text.get()).unwrap_or_default()
}
