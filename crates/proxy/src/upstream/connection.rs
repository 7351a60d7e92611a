//! An HTTP/1.1 connection to an upstream or to discovery.

use std::cell::Cell;
use std::fmt::Debug;
use std::io::{self, IoSlice};
use std::iter;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

use super::gate::Gate;
use crate::memory::BufferPermit;
use crate::socket::Socket;

pub use super::gate::WriteCheck;

/// Largest read buffer of a connection, which also limits the head of an answer. Many connections may be reading at the
/// same time, and hyper's own limit of about 400 KB for each would exceed the memory of a small deployment.
const READ_BUFFER_MAX_BYTES: usize = 32 * 1024;

/// Counts a socket against the process's socket budget until it is dropped, and its buffers against the memory budget.
#[derive(Debug)]
pub struct Permit {
    sockets: Rc<Cell<usize>>,
    buffers: Option<BufferPermit>,
}

impl Permit {
    /// Adds a socket to the counter `sockets`; dropping the permit subtracts it.
    #[must_use]
    pub fn of(sockets: &Rc<Cell<usize>>) -> Self {
        sockets.set(sockets.get() + 1);
        Self { sockets: Rc::clone(sockets), buffers: None }
    }

    /// Adds the buffers that the socket's connection has.
    #[must_use]
    pub(super) fn with_buffers(self, buffers: BufferPermit) -> Self {
        let mut permit = self;
        permit.buffers = Some(buffers);
        permit
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.sockets.set(self.sockets.get() - 1);
    }
}

/// An open HTTP connection. Dropping it closes the socket even if a request is in progress on it, so that a request
/// whose response is no longer awaited does not go on unnoticed.
#[derive(Debug)]
pub struct Connection {
    /// hyper's handle for sending requests on the connection.
    pub sender: SendRequest<Full<Bytes>>,
    /// Number of bytes that the socket has accepted since the counter was last reset, which happens before each
    /// request.
    pub written: Rc<Cell<u64>>,
    /// Decides before each write whether the bytes of a request may be sent.
    pub gate: Rc<Gate>,
    socket: Socket,
    task: AbortHandle,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Connection {
    /// Whether the connection can carry another request: the last response is complete, and since then the peer has
    /// neither closed the connection nor sent any bytes, which would be read as the next response.
    #[must_use]
    pub fn is_free(&self) -> bool {
        self.sender.is_ready() && self.socket.has_nothing_to_read()
    }
}

/// Connects to the server of a watch.
///
/// # Errors
/// The connection is not established.
pub async fn open(address: SocketAddr, permit: Permit) -> io::Result<CountingSocket> {
    Ok(CountingSocket::new(TcpStream::connect(address).await?, permit))
}

/// Starts HTTP/1.1 on a connected socket.
///
/// # Errors
/// The connection breaks during the handshake.
pub async fn handshake(stream: TcpStream, permit: Permit) -> Result<Connection, hyper::Error> {
    let io = CountingSocket::new(stream, permit);
    let (socket, written, gate) = (io.socket.clone(), Rc::clone(&io.written), Rc::clone(&io.gate));
    let mut builder = http1::Builder::new();
    builder.max_buf_size(READ_BUFFER_MAX_BYTES);
    let (sender, connection) = builder.handshake(TokioIo::new(io)).await?;
    let task = tokio::task::spawn_local(async move {
        // An error also fails the request in progress on the connection, if there is one, and is handled there.
        let _ = connection.await;
    });
    Ok(Connection { sender, written, gate, socket, task: task.abort_handle() })
}

/// A socket that counts the bytes written to it: a request that was not written completely has not run.
#[derive(Debug)]
pub struct CountingSocket {
    socket: Socket,
    written: Rc<Cell<u64>>,
    gate: Rc<Gate>,
    /// The first buffer of the request being written, with the deadline header updated when the write began.
    head: Option<Vec<u8>>,
    _permit: Permit,
}

impl CountingSocket {
    fn new(stream: TcpStream, permit: Permit) -> Self {
        Self {
            socket: Socket::new(stream),
            written: Rc::default(),
            gate: Rc::default(),
            head: None,
            _permit: permit,
        }
    }

    /// Writes `head`, the part of a request's head that the socket has not accepted yet, followed by `rest`.
    fn write_head(
        &mut self,
        context: &mut Context<'_>,
        head: &[u8],
        rest: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let parts: Vec<_> = iter::once(IoSlice::new(head)).chain(rest.iter().copied()).collect();
        let done = Pin::new(&mut self.socket).poll_write_vectored(context, &parts);
        self.count(done)
    }

    fn count(&self, done: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        let bytes = ready!(done)?;
        self.written.set(self.written.get() + bytes as u64);
        Poll::Ready(Ok(bytes))
    }
}

impl AsyncRead for CountingSocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_read(context, buffer)
    }
}

impl AsyncWrite for CountingSocket {
    fn poll_write(self: Pin<&mut Self>, context: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        self.poll_write_vectored(context, &[IoSlice::new(bytes)])
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let Some((first, rest)) = parts.split_first() else { return Poll::Ready(Ok(0)) };
        #[allow(
            clippy::cast_possible_truncation,
            reason = "a request is a head and a body of 64 KiB at most"
        )]
        let written = self.written.get() as usize;
        if written > 0 {
            self.gate.check_continue()?;
        } else {
            self.head = self.gate.check_begin(first)?;
        }
        // The socket may accept the head in several writes: later parts must carry the same deadline as the first one.
        if let Some(head) = self.head.take_if(|head| written + first.len() == head.len()) {
            let done = self.write_head(context, &head[written..], rest);
            self.head = Some(head);
            return done;
        }
        let done = Pin::new(&mut self.socket).poll_write_vectored(context, parts);
        self.count(done)
    }

    fn is_write_vectored(&self) -> bool {
        self.socket.is_write_vectored()
    }
}
