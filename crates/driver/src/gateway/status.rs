//! A local socket at which a running gateway says what it believes.

use std::io::Read;
use std::rc::Rc;

use slog::warn;
use tokio::io::AsyncWriteExt;
use tokio::net::UnixListener;
use tokio::sync::oneshot;

use crate::context::Context;
use crate::words::Call;

/// Answers everybody who connects with one JSON object.
pub async fn serve(context: Rc<Context>, path: String) {
    // Left over from an earlier run.
    let _ = std::fs::remove_file(&path);
    let listener = match UnixListener::bind(&path) {
        Ok(listener) => listener,
        Err(error) => {
            return warn!(context.log, "no status socket"; "path" => path, "why" => %error);
        }
    };
    while let Ok((mut stream, _)) = listener.accept().await {
        let (sender, answer) = oneshot::channel();
        if context.desk.send(Call::Describe(sender)).await.is_err() {
            return;
        }
        if let Ok(text) = answer.await {
            let _ = stream.write_all(text.as_bytes()).await;
        }
    }
}

/// What the gateway behind that socket says.
pub fn ask(path: &str) -> Result<String, String> {
    let mut stream =
        std::os::unix::net::UnixStream::connect(path).map_err(|error| format!("{path}: {error}"))?;
    let mut text = String::new();
    stream.read_to_string(&mut text).map_err(|error| format!("{path}: {error}"))?;
    Ok(text)
}
