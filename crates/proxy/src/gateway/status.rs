//! Status socket of the gateway.

use std::rc::Rc;

use tokio::io::AsyncWriteExt;
use tokio::sync::oneshot;
use tokio::task::spawn_local;

use crate::lifecycle::process_context::ProcessContext;
use crate::lifecycle::status_socket;
use crate::messages::DispatcherMessage;
use crate::system::Acceptor;

/// Listens on a Unix socket at `path`, and writes the state of sites and links as JSON to every connection.
/// Returns if the socket cannot be opened, or once the dispatcher has ended.
pub async fn serve_status(context: Rc<ProcessContext>, path: String) {
    let Some(listener) = status_socket::listen(&path, &context.log) else { return };
    let mut acceptor = Acceptor::new(listener, context.log.clone());
    loop {
        let mut stream = acceptor.next().await;
        let (reply, description) = oneshot::channel();
        if context.dispatcher.send(DispatcherMessage::DescribeSites(reply)).await.is_err() {
            return;
        }
        let Ok(description) = description.await else { continue };
        // Each reply is written in its own task, so that a client that does not read delays no other.
        spawn_local(async move {
            let _ = stream.write_all(description.as_bytes()).await;
        });
    }
}
