//! What the dispatcher keeps of a request under way.

use std::rc::Rc;

use aldermill_routing::Micros;
use aldermill_sites::Handle as SitesHandle;
use tokio::sync::mpsc;

use crate::words::{ClientId, Mail, Order, Withdrawal};

/// A request under way and the client that waits for it.
pub(crate) struct Open {
    /// Of the gateway, where there is one: it is told what the module says, and answers the client.
    pub via: Option<SitesHandle>,
    /// Of the best paid offering.
    pub best: bool,
    /// When the client's time is over, on the router's clock. No attempt may last longer.
    pub deadline: Micros,
    pub client: Option<(ClientId, mpsc::Sender<Mail>)>,
    /// Set when the client left, or the gateway took the request back.
    pub withdrawal: Withdrawal,
    pub order: Rc<Order>,
}

impl Open {
    /// Nobody waits for it here any more.
    pub fn withdraw(&mut self) {
        self.client = None;
        self.withdrawal.set();
    }
}
