//! TCP proxy in front of the store, one for each instance. It injects connection faults while the
//! store itself works.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;

/// Delay of each chunk of data in slow mode.
const SLOW_DELAY: Duration = Duration::from_millis(300);
/// Timeout of connecting to the store.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Read timeout, after which an idle connection checks the mode again.
const READ_TIMEOUT: Duration = Duration::from_millis(50);

/// How connections behave.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[repr(u8)]
pub enum Mode {
    /// Forward data both ways.
    Pass = 0,
    /// Forward requests and discard responses.
    OneWay = 1,
    /// Close with unread data, which resets the connection.
    Reset = 2,
    /// Discard all data until the connection ends, even if the mode changes.
    Silent = 3,
    /// Forward data late.
    Slow = 4,
}

const MODES: [Mode; 5] = [
    Mode::Pass,
    Mode::OneWay,
    Mode::Reset,
    Mode::Silent,
    Mode::Slow,
];

/// A running proxy.
#[derive(Clone, Debug, Default)]
pub struct Proxy(Arc<AtomicU8>);

impl Proxy {
    /// Starts a proxy, whose connections run on separate threads.
    pub fn start(address: SocketAddr, store: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let proxy = Self::default();
        let mode = proxy.clone();
        std::thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let Ok(store) = TcpStream::connect_timeout(&store, CONNECT_TIMEOUT) else {
                    continue;
                };
                for (from, to, is_response) in [(&client, &store, false), (&store, &client, true)] {
                    let (Ok(from), Ok(to)) = (from.try_clone(), to.try_clone()) else {
                        continue;
                    };
                    let mode = mode.clone();
                    std::thread::spawn(move || mode.forward(from, to, is_response));
                }
            }
        });
        Ok(proxy)
    }

    /// Changes how connections behave.
    pub fn set_mode(&self, mode: Mode) {
        self.0.store(mode as u8, Ordering::Relaxed);
    }

    fn mode(&self) -> Mode {
        MODES[usize::from(self.0.load(Ordering::Relaxed))]
    }

    /// Forwards data in one direction until the connection ends; `is_response` is set for the
    /// direction from the store. A direction that has discarded data forwards nothing more.
    fn forward(&self, mut from: TcpStream, mut to: TcpStream, is_response: bool) {
        let mut buffer = [0; 16 << 10];
        let mut is_silenced = false;
        // Without a timeout, the thread of an idle connection would outlive the run.
        let _ = from.set_read_timeout(Some(READ_TIMEOUT));
        loop {
            let mode = self.mode();
            if mode == Mode::Reset {
                break;
            }
            let length = match from.read(&mut buffer) {
                Ok(0) => break,
                Ok(length) => length,
                Err(error)
                    if matches!(
                        error.kind(),
                        std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut
                    ) =>
                {
                    continue;
                }
                Err(_) => break,
            };
            is_silenced |= mode == Mode::Silent || (mode == Mode::OneWay && is_response);
            if is_silenced {
                continue;
            }
            if mode == Mode::Slow {
                std::thread::sleep(SLOW_DELAY);
            }
            if to.write_all(&buffer[..length]).is_err() {
                break;
            }
        }
        // Either side may be closed already.
        let _ = from.shutdown(Shutdown::Both);
        let _ = to.shutdown(Shutdown::Both);
    }
}
