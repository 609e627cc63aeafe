//! The actor that reads the configuration again on SIGHUP, and hands what may change to the other actors.

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

/// What the actor reads, and whom it tells.
pub struct ReloadActor {
    /// The files that are read again.
    pub files: ConfigurationFiles,
    /// What the last reading said of the fields that cannot change.
    pub immutable: ImmutableFields,
    /// Tells the discovery watch where discovery is.
    pub discovery: watch::Sender<SocketAddr>,
    /// Takes in new limits on slow peers.
    pub flow_control: Rc<FlowControl>,
    /// Takes in other settings for shadow evaluation.
    pub dispatcher: mpsc::Sender<DispatcherMessage>,
    /// Tells the membership actor what the operator's file says of coordination.
    pub coordination: watch::Sender<Option<CoordinationConfig>>,
    /// Where reloads are logged.
    pub log: Logger,
}

impl ReloadActor {
    /// Reloads on every SIGHUP. Files that cannot be used change nothing.
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
        // If the dispatcher is gone, the process is about to end.
        let _ = self.dispatcher.send(DispatcherMessage::ShadowReplaced(shadow)).await;
        self.coordination.send_replace(configuration.operator.coordination);
        let address_changed = self.update_discovery(configuration.discovery);
        info!(self.log, "configuration reloaded";
            "discovery" => %configuration.discovery, "moved" => address_changed);
    }

    /// Tells the new address to the discovery watch; whether it differs from the old one.
    fn update_discovery(&self, discovery: SocketAddr) -> bool {
        self.discovery.send_if_modified(|address| std::mem::replace(address, discovery) != discovery)
    }
}

/// From the first SIGHUP on the file says where discovery is: GW_DISCOVERY holds for the start alone.
fn environment_at_reload(name: &str) -> Option<String> {
    std::env::var(name).ok().filter(|_| name != "GW_DISCOVERY")
}
