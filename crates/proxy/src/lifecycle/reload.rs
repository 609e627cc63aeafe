//! The actor that reloads the configuration on SIGHUP and passes the fields that may change to other actors.

use std::net::SocketAddr;
use std::rc::Rc;

use aldermill_operator_config::CoordinationConfig;
use slog::{Logger, info, warn};
use tokio::signal::unix::Signal;
use tokio::sync::{mpsc, watch};

use crate::flow_control::FlowControl;
use crate::lifecycle::configuration::{Configuration, ConfigurationFiles};
use crate::lifecycle::immutable_fields::ImmutableFields;
use crate::messages::DispatcherMessage;

/// The reload actor: the files that it reads and the recipients of changed fields.
pub struct ReloadActor {
    /// The files that every reload reads.
    pub files: ConfigurationFiles,
    /// Values that the last valid configuration gave to the fields that cannot change while running.
    pub immutable: ImmutableFields,
    /// Sends the address of discovery to the discovery watch.
    pub discovery: watch::Sender<SocketAddr>,
    /// Receives new limits on slow peers.
    pub flow_control: Rc<FlowControl>,
    /// Receives new settings for shadow evaluation.
    pub dispatcher: mpsc::Sender<DispatcherMessage>,
    /// Sends the `coordination` section of the operator's file to the membership actor; `None` if there is
    /// none.
    pub coordination: watch::Sender<Option<CoordinationConfig>>,
    /// The logger for reloads.
    pub log: Logger,
}

impl ReloadActor {
    /// Reloads the configuration on every SIGHUP. If the files cannot be read or are invalid, the current
    /// configuration stays in force.
    pub async fn run(mut self, mut hangup: Signal) {
        while hangup.recv().await.is_some() {
            match Configuration::read(&self.files, environment_at_reload) {
                Ok(configuration) => self.apply(configuration).await,
                Err(error) => {
                    warn!(self.log, "configuration not reloaded, the old one stays in force"; "why" => %error);
                }
            }
        }
    }

    async fn apply(&mut self, configuration: Configuration) {
        for field in configuration.immutable.changed_since(&self.immutable) {
            warn!(self.log, "configuration field cannot change while running"; "field" => field);
        }
        self.immutable = configuration.immutable;
        self.flow_control.update_limits(configuration.flow_limits);
        let shadow = configuration.shadow.map(Box::new);
        // Sending fails only if the dispatcher has ended, and then the process is about to end.
        let _ = self.dispatcher.send(DispatcherMessage::ShadowReplaced(shadow)).await;
        self.coordination.send_replace(configuration.operator.coordination);
        let address_changed = self.update_discovery(configuration.discovery);
        info!(self.log, "configuration reloaded";
            "discovery" => %configuration.discovery, "moved" => address_changed);
    }

    /// Sends the address to the discovery watch if it has changed, and returns whether it has.
    fn update_discovery(&self, discovery: SocketAddr) -> bool {
        self.discovery.send_if_modified(|address| std::mem::replace(address, discovery) != discovery)
    }
}

/// Reads an environment variable for a reload. Ignores `GW_DISCOVERY`, which applies only at startup: from
/// the first SIGHUP on, the address of discovery comes from the configuration file.
fn environment_at_reload(name: &str) -> Option<String> {
    std::env::var(name).ok().filter(|_| name != "GW_DISCOVERY")
}
