//! A balancer that runs on a thread of the test process.

use std::net::{SocketAddr, TcpListener};
use std::thread::{self, JoinHandle};

use balancer_proxy::config::Config;
use balancer_proxy::server::{self, Accept};
use serde_json::Value;
use tokio::sync::oneshot;

use super::{Client, Discovery, configuration, parsed};

/// A balancer that runs on its own thread. When this is dropped, the balancer drains and the thread is joined.
pub struct Balancer {
    pub address: SocketAddr,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl Balancer {
    /// Starts a balancer with this configuration on a free port.
    pub fn start(configuration: &str) -> Self {
        Self::start_on(parsed(configuration), |listener| listener)
    }

    /// Starts a balancer that accepts from the listener that `make_listener` creates from a bound TCP listener.
    pub fn start_on<A: Accept>(
        config: Config,
        make_listener: impl FnOnce(tokio::net::TcpListener) -> A + Send + 'static,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port is available");
        listener.set_nonblocking(true).expect("non-blocking mode is set");
        let address = listener.local_addr().expect("the socket has a local address");
        let (stop, stopped) = oneshot::channel();
        let thread = thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build()
                .expect("the runtime starts");
            let served = tokio::task::LocalSet::new().block_on(&runtime, async {
                let listener = tokio::net::TcpListener::from_std(listener)?;
                let stop = async {
                    // The drain begins when the sender is dropped.
                    let _ = stopped.await;
                };
                server::serve_on(make_listener(listener), config, stop).await
            });
            served.expect("the balancer serves until it is stopped");
        });
        Self { address, stop: Some(stop), thread: Some(thread) }
    }

    /// Starts a balancer with these upstreams, a latency objective of `latency_objective` seconds for each class, and a
    /// discovery server that sends no updates.
    pub fn with(known: &[Value], latency_objective: f64) -> (Self, Discovery) {
        let discovery = Discovery::start();
        (Self::start(&configuration(discovery.address, known, latency_objective, 1024)), discovery)
    }

    /// Opens a client connection to the balancer.
    pub fn client(&self) -> Client {
        Client::connect(self.address)
    }

    /// Returns the status of the health check that the front uses.
    pub fn health(&self) -> u16 {
        self.client().health().expect("an answer before the connection ends")
    }

    /// Starts the drain without waiting for its end.
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
