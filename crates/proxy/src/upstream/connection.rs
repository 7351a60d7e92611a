//! One HTTP/1.1 connection to an upstream or to discovery.

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
use crate::socket::Socket;

pub use super::gate::Clearance;

/// A socket counted against the budget for as long as it lives.
#[derive(Debug)]
pub struct Permit(Rc<Cell<usize>>);

impl Permit {
    /// Counts a socket more.
    #[must_use]
    pub fn of(sockets: &Rc<Cell<usize>>) -> Self {
        sockets.set(sockets.get() + 1);
        Self(Rc::clone(sockets))
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// An open connection. Dropping it closes the socket, whatever is still in progress on it: a request that
/// nobody waits for any more must not run unnoticed.
#[derive(Debug)]
pub struct Connection {
    /// Sends a request.
    pub sender: SendRequest<Full<Bytes>>,
    /// Bytes that the socket has accepted.
    pub written: Rc<Cell<u64>>,
    /// Checked before a request's bytes are written.
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
    /// Whether a request may go out on it: the last answer is through, and the peer has neither closed nor sent
    /// anything since, which would be read as the next answer.
    #[must_use]
    pub fn is_free(&self) -> bool {
        self.sender.is_ready() && self.socket.is_silent()
    }
}

/// Connects to where a watch is served.
///
/// # Errors
/// It does not come up.
pub async fn open(address: SocketAddr, permit: Permit) -> io::Result<CountingSocket> {
    Ok(CountingSocket::new(TcpStream::connect(address).await?, permit))
}

/// Makes an HTTP connection of a socket that is connected.
///
/// # Errors
/// It breaks as it comes up.
pub async fn handshake(stream: TcpStream, permit: Permit) -> Result<Connection, hyper::Error> {
    let io = CountingSocket::new(stream, permit);
    let (socket, written, gate) = (io.socket.clone(), Rc::clone(&io.written), Rc::clone(&io.gate));
    let (sender, connection) = http1::handshake(TokioIo::new(io)).await?;
    let task = tokio::task::spawn_local(async move {
        // How it ends shows in the request that is out on it, if one is.
        let _ = connection.await;
    });
    Ok(Connection { sender, written, gate, socket, task: task.abort_handle() })
}

/// A socket that counts the bytes it has accepted: a request that was never written whole never ran.
#[derive(Debug)]
pub struct CountingSocket {
    socket: Socket,
    written: Rc<Cell<u64>>,
    gate: Rc<Gate>,
    /// The first bytes of the request that is written, with the deadline of the moment at which it began.
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

    /// Writes what the socket has not accepted yet of a request's head, and what follows.
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
        // The socket may accept a head in parts: the rest of it goes with the first part's deadline.
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
