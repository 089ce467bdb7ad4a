//! Transfer of sheets and registry data between instances: one framed request and one framed
//! response over TCP.

use std::io::{self, Read, Write};
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::protocol::{fault, wire};
use crate::state::{code, key};

/// Longest wait for one read or write.
const TIMEOUT: Duration = Duration::from_secs(1);
/// Largest frame; room for a sheet of many documents of the largest size.
const MAX_FRAME_BYTES: u32 = 64 << 20;

fn write_frame(stream: &mut TcpStream, frame: &[u8]) -> io::Result<()> {
    stream.write_all(&(frame.len() as u32).to_be_bytes())?;
    stream.write_all(frame)
}

fn read_frame(stream: &mut TcpStream, limit: u32) -> io::Result<Vec<u8>> {
    let mut length = [0; 4];
    stream.read_exact(&mut length)?;
    let length = u32::from_be_bytes(length);
    if length > limit {
        return Err(io::Error::new(io::ErrorKind::InvalidData, "frame too long"));
    }
    let mut frame = vec![0; length as usize];
    stream.read_exact(&mut frame)?;
    Ok(frame)
}

fn set_timeouts(stream: &TcpStream) -> io::Result<()> {
    stream.set_read_timeout(Some(TIMEOUT))?;
    stream.set_write_timeout(Some(TIMEOUT))
}

/// Serves requests on a listener one at a time while the process runs. `answer` returns the content
/// that a request asks for, or `None` if there is none.
pub fn serve<R: for<'a> Deserialize<'a>, T: Serialize>(
    listener: &TcpListener,
    keyring: &wire::Keyring,
    self_key: key::Instance,
    answer: impl Fn(R) -> Option<T>,
) {
    for stream in listener.incoming().flatten() {
        // The instance that made a failed request retries it.
        let _ = respond(stream, keyring, self_key, &answer);
    }
}

fn respond<R: for<'a> Deserialize<'a>, T: Serialize>(
    mut stream: TcpStream,
    keyring: &wire::Keyring,
    self_key: key::Instance,
    answer: &impl Fn(R) -> Option<T>,
) -> io::Result<()> {
    const MAX_REQUEST_BYTES: u32 = 256;
    set_timeouts(&stream)?;
    let request = read_frame(&mut stream, MAX_REQUEST_BYTES)?;
    let Ok((_, request)) = wire::decode::<R>(keyring, &request) else {
        return Ok(());
    };
    let frame = wire::encode(keyring, wire::Kind::Fetch, self_key, &answer(request));
    write_frame(&mut stream, &frame)
}

/// Connects from the instance's own address, by which the network identifies its zone.
fn connect(from: IpAddr, to: SocketAddr) -> io::Result<TcpStream> {
    let socket = socket2::Socket::new(
        socket2::Domain::for_address(to),
        socket2::Type::STREAM,
        None,
    )?;
    socket.bind(&SocketAddr::new(from, 0).into())?;
    socket.connect_timeout(&to.into(), TIMEOUT)?;
    Ok(socket.into())
}

/// Fetches from a peer what a request asks for; `None` if it has none. Errors are
/// `InstanceUnreachable` and `FrameEncoding`.
pub fn fetch<R: Serialize, T: for<'a> Deserialize<'a>>(
    from: IpAddr,
    address: SocketAddr,
    keyring: &wire::Keyring,
    self_key: key::Instance,
    request: &R,
) -> fault::Result<Option<T>> {
    let unreachable = |error: io::Error| {
        fault::report(
            code::Code::InstanceUnreachable,
            format!("{address}: {error}"),
        )
    };
    let mut stream = connect(from, address).map_err(unreachable)?;
    set_timeouts(&stream).map_err(unreachable)?;
    let request = wire::encode(keyring, wire::Kind::Fetch, self_key, request);
    write_frame(&mut stream, &request).map_err(unreachable)?;
    let frame = read_frame(&mut stream, MAX_FRAME_BYTES).map_err(unreachable)?;
    let (_, content) = wire::decode::<Option<T>>(keyring, &frame).map_err(|_| {
        fault::report(
            code::Code::FrameEncoding,
            format!("{address}: response cannot be decoded"),
        )
    })?;
    Ok(content)
}
