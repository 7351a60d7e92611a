//! Upstreams to which connections do not come up until the test says so.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc;
use std::thread;

use socket2::{Domain, Socket, Type};

use super::{LONG, Message, Reply, SOON, Upstream, all_of, wait_for};

/// A socket with a port of its own, to which nobody can connect yet. Its address is of this process alone: what still
/// looks for a peer of another's that has gone must not find this one.
pub fn bound() -> (Socket, SocketAddr) {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    let any = SocketAddr::from(([127, high + 1, middle, low], 0));
    socket.bind(&any.into()).expect("a free port");
    let address = socket.local_addr().expect("bound").as_socket().expect("of IPv4");
    (socket, address)
}

/// The local ports of the connects to an address that are under way.
pub fn connecting(address: SocketAddr) -> Vec<u16> {
    let mut ports = listed_connecting(address);
    loop {
        // While other sockets come and go the system lists some twice, and may pass over others.
        let before = std::mem::replace(&mut ports, listed_connecting(address));
        if ports == before {
            return ports;
        }
    }
}

fn listed_connecting(address: SocketAddr) -> Vec<u16> {
    let SocketAddr::V4(address) = address else { panic!("of IPv4") };
    let remote = format!("{:08X}:{:04X}", u32::from_ne_bytes(address.ip().octets()), address.port());
    let sockets = std::fs::read_to_string("/proc/net/tcp").expect("the system lists its sockets");
    let mut ports = Vec::new();
    for line in sockets.lines().skip(1) {
        let fields: Vec<&str> = line.split_whitespace().collect();
        // A SYN is out.
        if fields[2] == remote && fields[3] == "02" {
            let port = fields[1].rsplit(':').next().expect("an address");
            ports.push(u16::from_str_radix(port, 16).expect("a port"));
        }
    }
    ports.sort_unstable();
    ports.dedup();
    ports
}

/// An upstream to which connections do not come up until [`LateUpstream::open`]: the system takes no more than its queue
/// holds, and tries again a second later.
pub struct LateUpstream {
    listener: Socket,
    pub address: SocketAddr,
    queue: Vec<TcpStream>,
}

impl LateUpstream {
    pub fn start() -> Self {
        let mut late = Self::with_room_for_one();
        late.close_up();
        late
    }

    /// One that takes a connection as long as none waits to be accepted.
    pub fn with_room_for_one() -> Self {
        let (listener, address) = bound();
        // A queue of no length holds one.
        listener.listen(0).expect("listens");
        listener.set_read_timeout(Some(LONG)).expect("set");
        Self { listener, address, queue: Vec::new() }
    }

    /// The next connection, which leaves its place in the queue.
    pub fn accept(&self) -> TcpStream {
        self.listener.accept().expect("a connection").0.into()
    }

    /// From here on no connection comes up.
    pub fn close_up(&mut self) {
        self.queue.push(TcpStream::connect(self.address).expect("the queue takes it"));
    }

    /// Waits until the balancer has asked for so many connections.
    pub fn wait_connecting(&self, count: usize) {
        wait_for("connects are under way", || (connecting(self.address).len() >= count).then_some(()));
    }

    /// Waits until so many connects are left under way.
    pub fn wait_connecting_falls(&self, count: usize) {
        wait_for("connects are let go of", || (connecting(self.address).len() <= count).then_some(()));
    }

    /// Lets connections come up, and gives those of the balancer as they come.
    pub fn open(self) -> mpsc::Receiver<TcpStream> {
        let (report, came) = mpsc::channel();
        let (listener, own) = self.lift();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if !own.contains(&stream.peer_addr().expect("up")) && report.send(stream).is_err() {
                    return;
                }
            }
        });
        came
    }

    /// Lets connections come up, and serves them.
    pub fn serve(self, script: impl Fn(usize, &Message) -> Reply + Send + Sync + 'static) -> Upstream {
        let (listener, own) = self.lift();
        Upstream::on(listener, own, move |number, message, _| script(number, message))
    }

    /// The listener with capacity for connections, and where the test's own ones come from.
    fn lift(self) -> (TcpListener, Vec<SocketAddr>) {
        let own = self.queue.iter().map(|own| own.local_addr().expect("up")).collect();
        // Capacity for all of them: one that finds none would be left half open.
        self.listener.listen(1024).expect("listens");
        self.listener.set_read_timeout(None).expect("set");
        (self.listener.into(), own)
    }
}

/// For so long an attempt may wait for a connection where the test says when it comes up: the decisions do not end the
/// wait, also where they want to hear of it after a sixteenth.
pub const PATIENT_S: f64 = 80.0;

/// The connections that came up, once no more do.
pub fn all_that_came(came: &mpsc::Receiver<TcpStream>) -> Vec<TcpStream> {
    std::iter::from_fn(|| came.recv_timeout(SOON).ok()).collect()
}

/// Whether nothing was sent on any of these connections up to its end.
pub fn nothing_came(streams: Vec<TcpStream>) -> bool {
    streams.into_iter().all(|stream| all_of(stream).is_empty())
}
