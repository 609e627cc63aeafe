//! Shadow evaluation of settings that are not in force. For a sample of the decisions, a copy of the router
//! decides a second time, from the same state, under these shadow settings. The copy is then dropped. Only
//! the differences between the two decisions are counted, and logged periodically. `docs/migration.md`
//! describes what an operator does with the counts.

pub mod difference;
mod error;

use std::collections::BTreeMap;
use std::time::Duration;

use aldermill_operator_config::ShadowConfig;
use aldermill_routing::{Actions, Router, RouterConfig};
use aldermill_settings::Settings;
use slog::{Logger, info};
use tokio::time::Instant;

use difference::Difference;
pub use error::ShadowError;

/// Default of the sample interval: one decision in this many is compared.
const DEFAULT_SAMPLE_INTERVAL: u32 = 10;
/// Default interval between two log lines with the counts, in seconds.
const DEFAULT_LOG_INTERVAL_S: u32 = 60;

/// Compares the router's decisions with those under the shadow settings.
pub struct ShadowRouter {
    /// Router configuration of the shadow settings.
    shadow_config: RouterConfig,
    /// Sample interval: one decision in this many is compared.
    sample_interval: u32,
    /// Interval between two log lines with the counts.
    log_interval: Duration,
    /// Number of decisions up to and including the next one that is compared.
    until_next_sample: u32,
    /// Number of decisions that were compared so far.
    pub compared: u64,
    /// Number of times that each difference was found so far.
    pub differences: BTreeMap<Difference, u64>,
    /// Time at which the counts were last logged, or the settings loaded.
    logged_at: Instant,
}

impl ShadowRouter {
    /// Reads the shadow settings.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read or is not valid as settings, or if its request classes or zones are
    /// not those of the settings in force.
    pub fn load(config: &ShadowConfig, in_force: &Settings) -> Result<ShadowRouter, ShadowError> {
        let path = || config.settings.clone();
        let text = std::fs::read_to_string(&config.settings)
            .map_err(|error| ShadowError::File { path: path(), error })?;
        let shadow_settings =
            Settings::parse(&text).map_err(|error| ShadowError::Settings { path: path(), error })?;
        if shadow_settings.class_names() != in_force.class_names() {
            return Err(ShadowError::DeploymentMismatch { path: path(), field: "categories" });
        }
        if shadow_settings.zones() != in_force.zones() {
            return Err(ShadowError::DeploymentMismatch { path: path(), field: "azs" });
        }
        let sample_interval = config.one_in.unwrap_or(DEFAULT_SAMPLE_INTERVAL).max(1);
        let log_interval_s = config.every_s.unwrap_or(DEFAULT_LOG_INTERVAL_S).max(1);
        Ok(ShadowRouter {
            shadow_config: shadow_settings.router_config,
            sample_interval,
            log_interval: Duration::from_secs(log_interval_s.into()),
            until_next_sample: sample_interval,
            compared: 0,
            differences: BTreeMap::new(),
            logged_at: Instant::now(),
        })
    }

    /// Lets the router decide. For decisions in the sample, a copy of the router decides as well, under the
    /// shadow settings; its actions are only compared.
    pub fn decide<T>(
        &mut self,
        router: &mut Router,
        decision: impl Fn(&mut Router) -> (T, Actions),
    ) -> (T, Actions) {
        // The copy is made before the decision, so that it decides from the same state.
        let copy = self.is_sampled().then(|| router.with_config(&self.shadow_config));
        let (result, actions) = decision(router);
        if let Some(mut copy) = copy {
            let (_, shadow_actions) = decision(&mut copy);
            self.compare(&actions, &shadow_actions);
        }
        (result, actions)
    }

    /// Counts a decision, and returns whether it is in the sample.
    fn is_sampled(&mut self) -> bool {
        self.until_next_sample -= 1;
        let is_sampled = self.until_next_sample == 0;
        if is_sampled {
            self.until_next_sample = self.sample_interval;
        }
        is_sampled
    }

    /// Counts the differences between the actions that were carried out and those under the shadow settings.
    fn compare(&mut self, made: &Actions, shadow: &Actions) {
        self.compared += 1;
        for difference in difference::differences(made, shadow) {
            *self.differences.entry(difference).or_default() += 1;
        }
    }

    /// Logs the counts if the log interval has passed.
    pub fn log_if_due(&mut self, log: &Logger) {
        if self.logged_at.elapsed() >= self.log_interval {
            self.log_counts(log);
        }
    }

    /// Logs the counts at once.
    pub fn log_counts(&mut self, log: &Logger) {
        self.logged_at = Instant::now();
        let counts: Vec<String> =
            self.differences.iter().map(|(difference, count)| format!("{difference}={count}")).collect();
        info!(log, "shadow evaluation"; "differences" => counts.join(" "), "compared" => self.compared,
            "one_in" => self.sample_interval);
    }
}
