//! The actor that reads the configuration anew on SIGHUP.

use std::net::SocketAddr;
use std::rc::Rc;

use aldermill_operator_config::CoordinationConfig;
use slog::{Logger, info, warn};
use tokio::signal::unix::Signal;
use tokio::sync::{mpsc, watch};

use crate::flow_control::FlowControl;
use crate::lifecycle::configuration::{Files, Fixed, Start};
use crate::messages::DispatcherMessage;

pub struct Reload {
    pub files: Files,
    pub fixed: Fixed,
    pub discovery: watch::Sender<SocketAddr>,
    pub flow_control: Rc<FlowControl>,
    pub dispatcher: mpsc::Sender<DispatcherMessage>,
    /// What drivers decide in common, as the operator's file has it now.
    pub council: watch::Sender<Option<CoordinationConfig>>,
    pub log: Logger,
}

impl Reload {
    /// From the first SIGHUP on, the file's `discovery` holds; what is wrong with the file changes nothing.
    pub async fn run(mut self, mut hangup: Signal) {
        while hangup.recv().await.is_some() {
            // The environment told where discovery was at the start.
            let told = |name: &str| std::env::var(name).ok().filter(|_| name != "GW_DISCOVERY");
            let start = match Start::read(&self.files, told) {
                Ok(start) => start,
                Err(why) => {
                    warn!(self.log, "configuration not read, the old one goes on"; "why" => %why);
                    continue;
                }
            };
            let changed = start.fixed.iter().zip(&self.fixed).filter(|(new, old)| new != old);
            for ((field, _), _) in changed {
                warn!(self.log, "configuration field cannot change while running"; "field" => field);
            }
            self.fixed = start.fixed;
            self.flow_control.update_limits(start.bounds);
            // A dispatcher that is gone ends the program by itself.
            let _ = self.dispatcher.send(DispatcherMessage::ShadowReplaced(start.trial.map(Box::new))).await;
            self.council.send_replace(start.council);
            let moved = self
                .discovery
                .send_if_modified(|address| std::mem::replace(address, start.discovery) != start.discovery);
            info!(self.log, "configuration read anew"; "discovery" => %start.discovery, "moved" => moved);
        }
    }
}
