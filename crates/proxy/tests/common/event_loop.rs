//! An event loop without a listener, to which tests pass requests directly.

use std::rc::Rc;
use std::time::Duration;

use balancer_policy::interface::{ClassId, TenantId};
use balancer_proxy::event_loop::{AcceptedRequest, Answer, EventLoop};
use balancer_proxy::socket::Socket;
use balancer_proxy::upstream::Call;
use bytes::Bytes;
use hyper::header::HeaderValue;
use hyper::{Method, Uri};
use tokio::sync::oneshot;
use tokio::task::LocalSet;
use tokio::time::Instant;

use super::parsed;

/// Runs a test on a new runtime with an event loop that has this configuration.
pub fn drive(configuration: &str, test: impl AsyncFnOnce(&Rc<EventLoop>)) {
    let config = parsed(configuration);
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().expect("the runtime starts");
    LocalSet::new().block_on(&runtime, async {
        let event_loop = EventLoop::start(config).expect("valid settings");
        test(&event_loop).await;
    });
}

/// Creates the part of a request of this class that is forwarded to upstreams.
pub fn call(class: &str, body: Bytes) -> Call {
    Call {
        method: if class == "read" { Method::GET } else { Method::POST },
        uri: format!("/{class}").parse::<Uri>().expect("a valid URI"),
        host: HeaderValue::from_static("origin.svc"),
        id: HeaderValue::from_static("r-1"),
        key: (class == "pay").then(|| HeaderValue::from_static("k-1")),
        body,
        must_not_repeat: class == "order",
    }
}

/// Creates a request that forwards `call`, from the client that is connected to the socket `server_side`.
pub fn accepted_request(
    class: ClassId,
    tenant: Option<TenantId>,
    call: Call,
    server_side: &Socket,
    deadline: Instant,
) -> AcceptedRequest {
    AcceptedRequest {
        class,
        tenant,
        subject: None,
        expected_work: None,
        is_client_retry: false,
        deadline,
        call: Rc::new(call),
        client: server_side.downgrade(),
    }
}

/// Passes a request of this class with this body to the event loop, and returns the receiver of its answer.
pub fn accept(
    event_loop: &Rc<EventLoop>,
    class: &str,
    body: Bytes,
    server_side: &Socket,
    deadline: Instant,
) -> oneshot::Receiver<Answer> {
    let name_registry = event_loop.name_registry();
    let class_id = name_registry.class(class).expect("the settings have the class").id;
    let tenant = name_registry.tenant("acme");
    event_loop.accept(accepted_request(class_id, tenant, call(class, body), server_side, deadline)).answer
}

/// Waits until a connection that has just received an answer is idle and can carry the next request.
pub async fn wait_until_connection_idle() {
    tokio::time::sleep(Duration::from_millis(30)).await;
}

/// Creates a client connection, and returns the client's side and the balancer's side of it.
pub fn connected_pair() -> (std::net::TcpStream, Socket) {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port is available");
    let client = std::net::TcpStream::connect(listener.local_addr().expect("the socket has a local address"))
        .expect("the connection is accepted");
    let (server_side, _) = listener.accept().expect("a connection is accepted");
    server_side.set_nonblocking(true).expect("non-blocking mode is set");
    let server_side = tokio::net::TcpStream::from_std(server_side).expect("an open socket");
    (client, Socket::new(server_side))
}
