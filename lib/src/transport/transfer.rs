//! Transfer of published facts between instances: one framed request and one framed answer over TCP.

use std::io::{self, Read, Write};
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::coordination::message;
use crate::protocol::{fault, wire};
use crate::state::{code, key};

/// Longest wait for one read or write.
const TIMEOUT: Duration = Duration::from_secs(1);
/// Largest frame: a sheet of many documents of the largest size.
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

/// Answers requests on a listener, one after the other, for the life of the process.
/// `content_above` gives what there is above a revision.
pub fn serve<T: Serialize>(
    listener: &TcpListener,
    keyring: &wire::Keyring,
    self_key: key::Instance,
    content_above: impl Fn(u64) -> Option<T>,
) {
    for stream in listener.incoming().flatten() {
        // A request that fails is repeated by the instance that made it.
        let _ = respond(stream, keyring, self_key, &content_above);
    }
}

fn respond<T: Serialize>(
    mut stream: TcpStream,
    keyring: &wire::Keyring,
    self_key: key::Instance,
    content_above: &impl Fn(u64) -> Option<T>,
) -> io::Result<()> {
    const MAX_REQUEST_BYTES: u32 = 256;
    set_timeouts(&stream)?;
    let request = read_frame(&mut stream, MAX_REQUEST_BYTES)?;
    let Ok((_, fetch)) = wire::decode::<message::Fetch>(keyring, &request) else {
        return Ok(());
    };
    let frame = wire::encode(
        keyring,
        wire::Kind::Fetch,
        self_key,
        &content_above(fetch.above),
    );
    write_frame(&mut stream, &frame)
}

/// Connects from the instance's own address, by which the network knows its zone.
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

/// Fetches what a peer has above a revision; none if it has nothing. Errors are
/// `InstanceUnreachable` and `FrameEncoding`.
pub fn fetch<T: for<'a> Deserialize<'a>>(
    from: IpAddr,
    address: SocketAddr,
    keyring: &wire::Keyring,
    self_key: key::Instance,
    above: u64,
) -> fault::Result<Option<T>> {
    let unreachable = |error: io::Error| {
        fault::report(
            code::Code::InstanceUnreachable,
            format!("{address}: {error}"),
        )
    };
    let mut stream = connect(from, address).map_err(unreachable)?;
    set_timeouts(&stream).map_err(unreachable)?;
    let request = wire::encode(
        keyring,
        wire::Kind::Fetch,
        self_key,
        &message::Fetch { above },
    );
    write_frame(&mut stream, &request).map_err(unreachable)?;
    let frame = read_frame(&mut stream, MAX_FRAME_BYTES).map_err(unreachable)?;
    let (_, content) = wire::decode::<Option<T>>(keyring, &frame).map_err(|_| {
        fault::report(
            code::Code::FrameEncoding,
            format!("{address}: answer cannot be read"),
        )
    })?;
    Ok(content)
}
