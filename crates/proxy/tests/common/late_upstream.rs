//! Upstreams to which no connection is established until the test allows it.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc;
use std::thread;

use socket2::{Domain, Socket, Type};

use super::{HANG_TIMEOUT, Message, Reply, SHORT_TIMEOUT, Upstream, read_until_closed, wait_for};

/// Creates a socket that is bound to a free port but does not listen yet. Its IP address is derived from the process
/// ID, so that a program that still tries to connect to an upstream of an earlier test process cannot reach it.
pub fn bound() -> (Socket, SocketAddr) {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket is created");
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    let any = SocketAddr::from(([127, high + 1, middle, low], 0));
    socket.bind(&any.into()).expect("a free port is available");
    let address =
        socket.local_addr().expect("the socket has a local address").as_socket().expect("an IPv4 address");
    (socket, address)
}

/// Returns the local ports of all pending connects to an address.
pub fn connecting(address: SocketAddr) -> Vec<u16> {
    let mut ports = listed_connecting(address);
    loop {
        // While sockets are opened and closed the system may list some of them twice and omit others, so the list is
        // read until two readings agree.
        let before = std::mem::replace(&mut ports, listed_connecting(address));
        if ports == before {
            return ports;
        }
    }
}

/// Reads the local ports of the pending connects to an address from the system's list of sockets once.
fn listed_connecting(address: SocketAddr) -> Vec<u16> {
    let SocketAddr::V4(address) = address else { panic!("expected an IPv4 address, got {address}") };
    // The system writes the IP address as a native-endian integer and the port as a plain number, both in hexadecimal.
    let remote = format!("{:08X}:{:04X}", u32::from_ne_bytes(address.ip().octets()), address.port());
    let sockets = std::fs::read_to_string("/proc/net/tcp").expect("the system lists its sockets");
    let mut ports = Vec::new();
    for line in sockets.lines().skip(1) {
        let fields: Vec<&str> = line.split_whitespace().collect();
        // Field 1 is the local address, field 2 the remote address and field 3 the state, where 02 is SYN_SENT.
        if fields[2] == remote && fields[3] == "02" {
            let port = fields[1].rsplit(':').next().expect("an address");
            ports.push(u16::from_str_radix(port, 16).expect("a port"));
        }
    }
    ports.sort_unstable();
    ports.dedup();
    ports
}

/// An upstream to which no connection is established until [`LateUpstream::open`] or [`LateUpstream::serve`]. Its
/// accept queue is full, so the system drops each SYN, and the balancer's system sends it again a second later.
pub struct LateUpstream {
    listener: Socket,
    pub address: SocketAddr,
    /// The test's own connections, which fill the accept queue.
    queue: Vec<TcpStream>,
}

impl LateUpstream {
    pub fn start() -> Self {
        let mut late = Self::with_room_for_one();
        late.fill_accept_queue();
        late
    }

    /// Starts an upstream whose accept queue holds one connection, and is empty.
    pub fn with_room_for_one() -> Self {
        let (listener, address) = bound();
        // With a backlog of 0 the accept queue holds one connection.
        listener.listen(0).expect("the socket listens");
        listener.set_read_timeout(Some(HANG_TIMEOUT)).expect("the read time-out is set");
        Self { listener, address, queue: Vec::new() }
    }

    /// Accepts the next connection, which frees its place in the accept queue.
    pub fn accept(&self) -> TcpStream {
        self.listener.accept().expect("a connection is accepted").0.into()
    }

    /// Fills the accept queue with a connection of the test, so that no further connection is established.
    pub fn fill_accept_queue(&mut self) {
        self.queue
            .push(TcpStream::connect(self.address).expect("the accept queue has room for one connection"));
    }

    /// Waits until at least `count` connects to this upstream are pending.
    pub fn wait_connecting(&self, count: usize) {
        wait_for("enough connects are pending", || (connecting(self.address).len() >= count).then_some(()));
    }

    /// Waits until at most `count` connects to this upstream are pending.
    pub fn wait_connecting_at_most(&self, count: usize) {
        wait_for("connects are abandoned", || (connecting(self.address).len() <= count).then_some(()));
    }

    /// Lets connections be established, and returns a receiver of those that the balancer opens.
    pub fn open(self) -> mpsc::Receiver<TcpStream> {
        let (report, accepted) = mpsc::channel();
        let (listener, own) = self.enlarge_queue();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if !own.contains(&stream.peer_addr().expect("the connection has a remote address"))
                    && report.send(stream).is_err()
                {
                    return;
                }
            }
        });
        accepted
    }

    /// Lets connections be established, and answers requests on them as the script determines.
    pub fn serve(self, script: impl Fn(usize, &Message) -> Reply + Send + Sync + 'static) -> Upstream {
        let (listener, own) = self.enlarge_queue();
        Upstream::on(listener, own, move |number, message, _| script(number, message))
    }

    /// Enlarges the accept queue, and returns the listener and the local addresses of the test's own connections.
    fn enlarge_queue(self) -> (TcpListener, Vec<SocketAddr>) {
        let own =
            self.queue.iter().map(|own| own.local_addr().expect("the socket has a local address")).collect();
        // The backlog has room for all connections. One that found the queue full would stay half open.
        self.listener.listen(1024).expect("the socket listens");
        self.listener.set_read_timeout(None).expect("the read time-out is set");
        (self.listener.into(), own)
    }
}

/// Connect time-out in seconds for tests that decide when a connection is established. It is so long that the policy
/// does not end the wait during the test, even where it reviews a pending connect after a sixteenth of the time-out.
pub const LONG_DIAL_TIMEOUT_S: f64 = 80.0;

/// Returns all received connections, once no further one has arrived for [`SHORT_TIMEOUT`].
pub fn collect_connections(accepted: &mpsc::Receiver<TcpStream>) -> Vec<TcpStream> {
    std::iter::from_fn(|| accepted.recv_timeout(SHORT_TIMEOUT).ok()).collect()
}

/// Reads each connection until it ends, and returns whether none of them carried any data.
pub fn all_without_data(streams: Vec<TcpStream>) -> bool {
    streams.into_iter().all(|stream| read_until_closed(stream).is_empty())
}
