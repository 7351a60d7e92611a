//! A simulated discovery server.

use std::net::{SocketAddr, TcpListener};
use std::sync::mpsc::{self, Receiver};
use std::thread;
use std::time::Duration;

use super::watch::serve_watch;
use super::{HANG_TIMEOUT, Watch, read_message};

/// A discovery server that sends on its watches what the test passes to it.
pub struct Discovery {
    pub address: SocketAddr,
    /// The watches that have been opened, in order, each with its request line.
    watches: Receiver<(String, Watch)>,
}

impl Discovery {
    pub fn start() -> Self {
        Self::with_heartbeat(Duration::from_millis(500))
    }

    /// Starts a discovery server that sends a heartbeat on a watch when it has sent nothing for `heartbeat_interval`.
    pub fn with_heartbeat(heartbeat_interval: Duration) -> Self {
        Self::on(TcpListener::bind("127.0.0.1:0").expect("a free port is available"), heartbeat_interval)
    }

    /// Starts a discovery server on this listener, with a heartbeat after `heartbeat_interval` without data.
    pub fn on(listener: TcpListener, heartbeat_interval: Duration) -> Self {
        let address = listener.local_addr().expect("the socket has a local address");
        let (opened, watches) = mpsc::channel();
        thread::spawn(move || {
            for mut stream in listener.incoming().flatten() {
                let opened = opened.clone();
                thread::spawn(move || {
                    let Some(message) = read_message(&mut stream) else { return };
                    serve_watch(stream, message.line, &opened, heartbeat_interval);
                });
            }
        });
        Self { address, watches }
    }

    /// Waits for the next watch that the balancer opens, and returns it with its request line.
    pub fn watch(&self) -> (String, Watch) {
        self.watches.recv_timeout(HANG_TIMEOUT).expect("the balancer opens a watch")
    }
}
