//! A proxy on loopback before the store, one for each instance, whose connections can fail in every
//! way while the store itself is well.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;

/// Delay of each piece of data while connections are slow.
const SLOW_DELAY: Duration = Duration::from_millis(300);
/// Longest wait for the store.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time between looks at the mode of a connection that carries nothing.
const READ_TIMEOUT: Duration = Duration::from_millis(50);

/// What connections do.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[repr(u8)]
pub enum Mode {
    /// Carry data both ways.
    Pass = 0,
    /// Carry requests, and no answers.
    OneWay = 1,
    /// Are closed with unread data, which resets them.
    Reset = 2,
    /// Carry nothing, for good.
    Silent = 3,
    /// Carry data late.
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
    /// Starts a proxy on threads of its own.
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

    /// Changes what connections do.
    pub fn set_mode(&self, mode: Mode) {
        self.0.store(mode as u8, Ordering::Relaxed);
    }

    fn mode(&self) -> Mode {
        MODES[usize::from(self.0.load(Ordering::Relaxed))]
    }

    /// Carries data one way until the connection ends; `is_response` tells whether these are answers. What a
    /// connection swallowed once leaves it silent for good.
    fn forward(&self, mut from: TcpStream, mut to: TcpStream, is_response: bool) {
        let mut buffer = [0; 16 << 10];
        let mut is_silenced = false;
        // A connection without a time-out would outlive the run.
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
        // Either end may be closed already.
        let _ = from.shutdown(Shutdown::Both);
        let _ = to.shutdown(Shutdown::Both);
    }
}
