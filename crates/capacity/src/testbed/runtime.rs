//! A single-threaded tokio runtime for the stand-in servers.

use tokio::sync::watch;

/// Calls `tasks`, which spawns local tasks, on a tokio runtime of this thread, and runs them until `stopped` is true.
pub(super) fn on_runtime(mut stopped: watch::Receiver<bool>, tasks: impl FnOnce() -> std::io::Result<()>) {
    let Ok(runtime) = tokio::runtime::Builder::new_current_thread().enable_io().build() else { return };
    tokio::task::LocalSet::new().block_on(&runtime, async {
        if tasks().is_ok() {
            // The wait also ends, with an error, if the sender is dropped.
            let _ = stopped.wait_for(|stopped| *stopped).await;
        }
    });
}
