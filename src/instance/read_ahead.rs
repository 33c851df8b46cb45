//! A caller's connection that is read on while a request is in progress, so that its end is noticed at once.
//!
//! The HTTP library doesn't read while a request is in progress and bytes behind it wait to be parsed, such as a further request or
//! an empty line. Without this, the break of such a connection would go unnoticed until the answer, and the job would run on while
//! its caller submits it again elsewhere.
//!
//! A request may also be read when its caller has already gone, and submitted the job again: it may have waited on the link, or for
//! an instance that didn't run. So a job isn't accepted without a look at its connection.

use std::{
    cell::RefCell,
    io::{
        self,
        Read as _, //
    },
    pin::Pin,
    rc::Rc,
    task::{
        Context,
        Poll, //
    }, //
};

use bytes::{
    Buf as _,
    BytesMut, //
};
use socket2::{
    SockRef,
    Socket, //
};
use tokio::{
    io::{
        AsyncRead,
        AsyncWrite,
        ReadBuf, //
    },
    net::TcpStream, //
};

/// The most bytes that are read ahead. The end of a connection that has sent more isn't noticed until they are used.
const MAX_AHEAD: usize = 16 << 10;

/// The most bytes that one read takes.
const CHUNK: usize = 2 << 10;

struct Connection {
    stream: TcpStream,
    /// Bytes that were read ahead.
    ahead: BytesMut,
    has_ended: bool,
}

/// The connection, for the HTTP library.
pub(super) struct Stream(Rc<RefCell<Connection>>);

/// Watches the same connection for its end.
pub(super) struct Watch(Rc<RefCell<Connection>>);

/// Splits a connection into the stream and the watch for its end. Both must be polled by one task.
pub(super) fn split(stream: TcpStream) -> (Stream, Watch) {
    let connection = Rc::new(RefCell::new(Connection {
        stream,
        ahead: BytesMut::new(),
        has_ended: false,
    }));
    (Stream(connection.clone()), Watch(connection))
}

impl Watch {
    /// Reads ahead what has arrived, and returns whether the caller has closed the connection or broken it off.
    ///
    /// Asks the system and not the runtime, which learns of an end with the next event on the connection: on a new one that's after the
    /// first request was read.
    pub(super) fn has_ended(&self) -> bool {
        let connection = &mut *self.0.borrow_mut();
        let socket = SockRef::from(&connection.stream);
        let mut socket: &Socket = &socket;
        let mut chunk = [0; CHUNK];
        while !connection.has_ended && connection.ahead.len() < MAX_AHEAD {
            match socket.read(&mut chunk) {
                Ok(0) => connection.has_ended = true,
                Ok(count) => connection.ahead.extend_from_slice(&chunk[..count]),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => connection.has_ended = true,
            }
        }
        connection.has_ended
    }

    /// Reads ahead, and is ready once the caller has closed the connection or broken it off.
    pub(super) fn poll_end(&self, context: &mut Context<'_>) -> Poll<()> {
        let connection = &mut *self.0.borrow_mut();
        let mut chunk = [0; CHUNK];
        while !connection.has_ended {
            if connection.ahead.len() >= MAX_AHEAD {
                return Poll::Pending;
            }
            let mut buffer = ReadBuf::new(&mut chunk);
            match Pin::new(&mut connection.stream).poll_read(context, &mut buffer) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(Ok(())) if !buffer.filled().is_empty() => {
                    connection.ahead.extend_from_slice(buffer.filled());
                    // The library may wait for these bytes, the rest of a body for example.
                    context.waker().wake_by_ref();
                }
                Poll::Ready(_) => connection.has_ended = true,
            }
        }
        Poll::Ready(())
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let connection = &mut *self.0.borrow_mut();
        if !connection.ahead.is_empty() {
            let count = connection.ahead.len().min(buffer.remaining());
            buffer.put_slice(&connection.ahead[..count]);
            connection.ahead.advance(count);
            return Poll::Ready(Ok(()));
        }
        if connection.has_ended {
            return Poll::Ready(Ok(()));
        }
        Pin::new(&mut connection.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.0.borrow_mut().stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.0.borrow_mut().stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.0.borrow().stream.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0.borrow_mut().stream).poll_flush(context)
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0.borrow_mut().stream).poll_shutdown(context)
    }
}
