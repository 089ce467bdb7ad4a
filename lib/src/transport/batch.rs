//! Batched datagrams with `recvmmsg` and `sendmmsg`. Besides reading the clock, the only unsafe code.
//!
//! A packet is received into a slot of the batch and sent from there, so its bytes are not copied.

use std::io;
use std::mem;
use std::net::{SocketAddr, UdpSocket};
use std::ops::Range;
use std::os::fd::AsRawFd;

use socket2::SockAddr;

/// Largest number of datagrams in one batch.
pub const BATCH_SIZE: usize = 64;
/// Size of a slot and largest datagram; longer ones count as oversized.
pub const SLOT_BYTES: usize = 2_048;

/// Receives batches of datagrams.
pub struct Receiver {
    buffers: Vec<[u8; SLOT_BYTES]>,
    count: usize,
    headers: Vec<libc::mmsghdr>,
    // The kernel reads the vectors and writes the sender addresses (names) through pointers in
    // `headers`.
    _names: Vec<libc::sockaddr_storage>,
    _vectors: Vec<libc::iovec>,
}

impl Default for Receiver {
    fn default() -> Self {
        let mut buffers = vec![[0u8; SLOT_BYTES]; BATCH_SIZE];
        // SAFETY: all-zero is a valid value of these plain C structs.
        let mut names: Vec<libc::sockaddr_storage> =
            (0..BATCH_SIZE).map(|_| unsafe { mem::zeroed() }).collect();
        let mut vectors: Vec<libc::iovec> = buffers
            .iter_mut()
            .map(|buffer| libc::iovec {
                iov_base: buffer.as_mut_ptr().cast(),
                iov_len: SLOT_BYTES,
            })
            .collect();
        let headers = vectors
            .iter_mut()
            .zip(&mut names)
            .map(|(vector, name)| {
                // SAFETY: all-zero is a valid value of this plain C struct.
                let mut header: libc::mmsghdr = unsafe { mem::zeroed() };
                header.msg_hdr.msg_iov = vector;
                header.msg_hdr.msg_iovlen = 1;
                header.msg_hdr.msg_name = std::ptr::from_mut(name).cast();
                header
            })
            .collect();
        Self {
            buffers,
            count: 0,
            headers,
            _names: names,
            _vectors: vectors,
        }
    }
}

impl Receiver {
    /// Waits for a datagram until the socket's read timeout and receives all that are available, up
    /// to `BATCH_SIZE`. Returns their number, which is zero after a timeout.
    pub fn receive(&mut self, socket: &UdpSocket) -> io::Result<usize> {
        for header in &mut self.headers {
            header.msg_hdr.msg_namelen = mem::size_of::<libc::sockaddr_storage>() as u32;
        }
        // SAFETY: every header points into vectors owned by `self`, whose heap storage does not
        // move, and the count is that of the headers.
        let received = unsafe {
            libc::recvmmsg(
                socket.as_raw_fd(),
                self.headers.as_mut_ptr(),
                BATCH_SIZE as u32,
                libc::MSG_WAITFORONE,
                std::ptr::null_mut(),
            )
        };
        self.count = 0;
        if received < 0 {
            let error = io::Error::last_os_error();
            return match error.kind() {
                io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted => Ok(0),
                // An earlier send reached a closed port; the socket itself works.
                io::ErrorKind::ConnectionRefused => Ok(0),
                _ => Err(error),
            };
        }
        self.count = received as usize;
        Ok(self.count)
    }

    /// Discards the last batch.
    pub fn clear(&mut self) {
        self.count = 0;
    }

    /// Number of datagrams of the last batch.
    pub fn count(&self) -> usize {
        self.count
    }

    /// A datagram of the last batch, cut to the size of its slot.
    pub fn bytes(&self, index: usize) -> &[u8] {
        let length = self.headers[index].msg_len as usize;
        &self.buffers[index][..length.min(SLOT_BYTES)]
    }

    /// Whether a datagram was longer than its slot.
    pub fn is_oversized(&self, index: usize) -> bool {
        self.headers[index].msg_hdr.msg_flags & libc::MSG_TRUNC != 0
    }
}

/// Location of the bytes of a datagram to send.
#[derive(Clone, Debug)]
pub enum Body {
    /// In a vector of their own.
    Owned(Vec<u8>),
    /// In a slot of the receiver, at this range.
    Slot(usize, Range<usize>),
}

struct Datagram {
    body: Body,
    prefix: Range<usize>,
    to: SockAddr,
}

/// Queue of datagrams to send in batches.
#[derive(Default)]
pub struct Sender {
    prefixes: Vec<u8>,
    datagrams: Vec<Datagram>,
    messages: Vec<libc::mmsghdr>,
    vectors: Vec<[libc::iovec; 2]>,
}

impl Sender {
    /// Queues a datagram that consists of a prefix, which may be empty, and a body.
    pub fn push(&mut self, prefix: &[u8], body: Body, to: SocketAddr) {
        let start = self.prefixes.len();
        self.prefixes.extend_from_slice(prefix);
        let prefix = start..self.prefixes.len();
        self.datagrams.push(Datagram {
            body,
            prefix,
            to: SockAddr::from(to),
        });
    }

    /// Number of queued datagrams.
    pub fn len(&self) -> usize {
        self.datagrams.len()
    }

    /// Whether nothing is queued.
    pub fn is_empty(&self) -> bool {
        self.datagrams.is_empty()
    }

    /// Sends all queued datagrams; returns how many could not be sent.
    pub fn flush(&mut self, socket: &UdpSocket, receiver: &Receiver) -> usize {
        self.vectors.clear();
        self.messages.clear();
        for datagram in &self.datagrams {
            let body = match &datagram.body {
                Body::Owned(bytes) => bytes.as_slice(),
                Body::Slot(index, range) => &receiver.buffers[*index][range.clone()],
            };
            self.vectors.push([
                io_vector(&self.prefixes[datagram.prefix.clone()]),
                io_vector(body),
            ]);
        }
        for (datagram, vectors) in self.datagrams.iter().zip(&mut self.vectors) {
            // SAFETY: all-zero is a valid value of this plain C struct.
            let mut message: libc::mmsghdr = unsafe { mem::zeroed() };
            let skip = usize::from(datagram.prefix.is_empty());
            message.msg_hdr.msg_iov = &raw mut vectors[skip];
            message.msg_hdr.msg_iovlen = 2 - skip;
            message.msg_hdr.msg_name = datagram.to.as_ptr().cast_mut().cast();
            message.msg_hdr.msg_namelen = datagram.to.len();
            self.messages.push(message);
        }
        let failed = send_all(socket, &mut self.messages);
        self.datagrams.clear();
        self.prefixes.clear();
        failed
    }
}

fn io_vector(bytes: &[u8]) -> libc::iovec {
    libc::iovec {
        iov_base: bytes.as_ptr().cast_mut().cast(),
        iov_len: bytes.len(),
    }
}

/// Tries to send each message once; returns how many failed.
fn send_all(socket: &UdpSocket, messages: &mut [libc::mmsghdr]) -> usize {
    let mut failed = 0;
    let mut next = 0;
    while next < messages.len() {
        let rest = &mut messages[next..];
        let count = rest.len().min(BATCH_SIZE) as u32;
        // SAFETY: the messages point into vectors that live for this call, and the count is at
        // most their number.
        let sent = unsafe { libc::sendmmsg(socket.as_raw_fd(), rest.as_mut_ptr(), count, 0) };
        if sent > 0 {
            next += sent as usize;
        } else {
            next += 1;
            failed += 1;
        }
    }
    failed
}

/// Binds a blocking UDP socket with large buffers and a read timeout.
pub fn bind(address: SocketAddr, read_timeout: std::time::Duration) -> io::Result<UdpSocket> {
    const BUFFER_BYTES: usize = 4 << 20;
    let domain = socket2::Domain::for_address(address);
    let socket = socket2::Socket::new(domain, socket2::Type::DGRAM, None)?;
    socket.set_recv_buffer_size(BUFFER_BYTES)?;
    socket.set_send_buffer_size(BUFFER_BYTES)?;
    socket.bind(&address.into())?;
    socket.set_read_timeout(Some(read_timeout))?;
    Ok(socket.into())
}
