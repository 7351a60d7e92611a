//! A single-threaded runtime for the stand-ins that serve many connections.

use tokio::sync::watch;

/// Runs tasks on a runtime of this thread until `stopped` is true.
pub(super) fn on_runtime(mut stopped: watch::Receiver<bool>, tasks: impl FnOnce() -> std::io::Result<()>) {
    let Ok(runtime) = tokio::runtime::Builder::new_current_thread().enable_io().build() else { return };
    tokio::task::LocalSet::new().block_on(&runtime, async {
        if tasks().is_ok() {
            // A dropped sender also means stop.
            let _ = stopped.wait_for(|stopped| *stopped).await;
        }
    });
}
