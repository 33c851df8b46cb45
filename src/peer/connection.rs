//! The server's side of a connection, which can be ended without losing what was written to it.

use std::{
    cell::Cell,
    io,
    net::Shutdown,
    pin::Pin,
    rc::Rc,
    task::{
        Context,
        Poll, //
    },
    time::Duration, //
};

use tokio::{
    io::{
        AsyncRead,
        AsyncReadExt as _,
        AsyncWrite,
        ReadBuf, //
    },
    net::TcpStream,
    task::yield_now,
    time::sleep, //
};

use crate::timeout::within;

/// How often a connection is checked for data that the peer has no room for yet.
const FLUSH_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// How long a peer has to close a connection on which everything has been written.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(2);

/// The turns of the other tasks of the thread after which a result that was given has reached the connection.
const SETTLE_TURNS: usize = 32;

/// A connection that knows whether it waits for the peer to receive.
pub(super) struct Stream {
    inner: TcpStream,
    is_blocked: Rc<Cell<bool>>,
}

/// Ends a connection whose [`Stream`] is in use.
pub(super) struct Handle {
    socket: std::net::TcpStream,
    is_blocked: Rc<Cell<bool>>,
}

impl Stream {
    /// Wraps a connection, and returns the handle that ends it.
    ///
    /// # Errors
    ///
    /// Fails if the process has no free file descriptor.
    pub(super) fn new(stream: TcpStream) -> io::Result<(Self, Handle)> {
        let stream = stream.into_std()?;
        let is_blocked = Rc::new(Cell::new(false));
        let handle = Handle {
            socket: stream.try_clone()?,
            is_blocked: is_blocked.clone(),
        };
        let inner = TcpStream::from_std(stream)?;
        Ok((Self { inner, is_blocked }, handle))
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_read(cx, buffer)
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.inner).poll_write(cx, bytes);
        self.is_blocked.set(written.is_pending());
        written
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}

impl Handle {
    /// Sends what was written, and waits until the peer has closed the connection.
    ///
    /// Closing a connection with unread data resets it, which discards what the peer hasn't received. The peer goes on sending
    /// heartbeats, so they are read until it has seen the end.
    ///
    /// # Errors
    ///
    /// Fails if the connection has failed.
    pub(super) async fn finish(self) -> io::Result<()> {
        self.wait_until_written().await;
        self.socket.shutdown(Shutdown::Write)?;
        let mut rest = TcpStream::from_std(self.socket)?;
        let until_closed = async {
            let mut buffer = [0; 4 << 10];
            while rest.read(&mut buffer).await? > 0 {}
            Ok(())
        };
        within(CLOSE_TIMEOUT, until_closed).await.unwrap_or(Ok(()))
    }

    async fn wait_until_written(&self) {
        loop {
            for _ in 0..SETTLE_TURNS {
                yield_now().await;
            }
            if !self.is_blocked.get() {
                return;
            }
            sleep(FLUSH_POLL_INTERVAL).await;
        }
    }
}
