//! Opens a connection to a target to see whether it lives. No request is sent.

use std::io;
use std::net::{IpAddr, SocketAddr};

use crate::coordination::cookie::checks;
use crate::state::time;
use crate::transport::clock;

/// Time-outs of the connections, which are opened one after the other. The kernel sends a lost first
/// packet again only after a second, so a second connection tolerates the loss earlier.
const TIMEOUTS: [time::Duration; 2] = [
    time::Duration::from_millis(150),
    time::Duration::from_millis(200),
];

/// Excess over a time-out that shows a pause of this process, in which an answer may have come.
const MAX_DELAY: time::Duration = time::Duration::from_millis(100);

/// Opens a connection to `to` and closes it, twice if there is no answer. No outcome if this instance
/// is at fault.
pub fn run(clock: clock::Clock, from: IpAddr, to: SocketAddr) -> Option<checks::Outcome> {
    for timeout in TIMEOUTS {
        let began = clock.now();
        let Err(error) = connect(from, to, timeout) else {
            return Some(checks::Outcome::Opened);
        };
        match error.kind() {
            io::ErrorKind::ConnectionRefused => return Some(checks::Outcome::Refused),
            io::ErrorKind::TimedOut
            | io::ErrorKind::HostUnreachable
            | io::ErrorKind::NetworkUnreachable => {}
            _ => return None,
        }
        if clock.now().since(began) > timeout + MAX_DELAY {
            return None;
        }
    }
    Some(checks::Outcome::Unanswered)
}

fn connect(from: IpAddr, to: SocketAddr, timeout: time::Duration) -> io::Result<()> {
    let domain = socket2::Domain::for_address(to);
    let socket = socket2::Socket::new(domain, socket2::Type::STREAM, None)?;
    socket.bind(&SocketAddr::new(from, 0).into())?;
    socket.connect_timeout(&to.into(), timeout)
}
