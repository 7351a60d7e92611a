//! The balancer on a thread of the test's process.

use std::net::{SocketAddr, TcpListener};
use std::thread::{self, JoinHandle};

use balancer_proxy::config::Config;
use balancer_proxy::server::{self, Accept};
use serde_json::Value;
use tokio::sync::oneshot;

use super::{Client, Discovery, configuration, parsed};

/// A balancer on a thread of its own; it drains when dropped.
pub struct Balancer {
    pub address: SocketAddr,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl Balancer {
    /// Starts one with this configuration on a free port.
    pub fn start(configuration: &str) -> Self {
        Self::start_on(parsed(configuration), |listener| listener)
    }

    /// The same on a listener that is made of a real one.
    pub fn start_on<A: Accept>(
        config: Config,
        make_listener: impl FnOnce(tokio::net::TcpListener) -> A + Send + 'static,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        listener.set_nonblocking(true).expect("set");
        let address = listener.local_addr().expect("bound");
        let (stop, stopped) = oneshot::channel();
        let thread = thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("starts");
            let served = tokio::task::LocalSet::new().block_on(&runtime, async {
                let listener = tokio::net::TcpListener::from_std(listener)?;
                let stop = async {
                    // The sender's end is the signal, sent or dropped.
                    let _ = stopped.await;
                };
                server::serve_on(make_listener(listener), config, stop).await
            });
            served.expect("serves");
        });
        Self { address, stop: Some(stop), thread: Some(thread) }
    }

    /// With these upstreams, answers wanted within `latency_objective` seconds, and a discovery that has nothing to
    /// add.
    pub fn with(known: &[Value], latency_objective: f64) -> (Self, Discovery) {
        let discovery = Discovery::start();
        (Self::start(&configuration(discovery.address, known, latency_objective, 1024)), discovery)
    }

    /// A new connection to it.
    pub fn client(&self) -> Client {
        Client::connect(self.address)
    }

    /// The status that the front gets.
    pub fn health(&self) -> u16 {
        self.client().health().expect("an answer")
    }

    /// Begins the drain, and does not wait for its end.
    pub fn stop(&mut self) {
        self.stop.take();
    }
}

impl Drop for Balancer {
    fn drop(&mut self) {
        self.stop.take();
        if let Some(thread) = self.thread.take() {
            let ended = thread.join();
            assert!(ended.is_ok() || thread::panicking(), "the balancer panicked");
        }
    }
}
