//! The gateway's status socket.

use std::rc::Rc;

use tokio::io::AsyncWriteExt;
use tokio::sync::oneshot;
use tokio::task::spawn_local;

use crate::lifecycle::process_context::ProcessContext;
use crate::lifecycle::status_socket;
use crate::messages::DispatcherMessage;
use crate::system::Acceptor;

/// Writes the state of sites and links, as JSON, to everybody who connects to the socket at that path.
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
        // A task of its own: one that connects and does not read delays nobody else.
        spawn_local(async move {
            let _ = stream.write_all(description.as_bytes()).await;
        });
    }
}
