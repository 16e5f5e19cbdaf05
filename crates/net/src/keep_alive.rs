//! Detects that the host of a peer is gone.
//!
//! A host that loses power closes no connection. Once it is up again, it resets the old ones at the next
//! probe: that proves that what ran there has ended. The host of a process that is merely paused confirms
//! probes, so such a connection stays open. A host that does not respond for long may also be behind a
//! partition: its connections end, which proves nothing about what runs there.

use rustix::net::sockopt;
use std::io;
use std::os::fd::AsFd;
use std::time::Duration;

/// The silence after which a connection is probed, and the interval between probes, in milliseconds.
const PROBE_INTERVAL_MS: u64 = 1_000;
/// The number of unanswered probes after which a connection ends.
const PROBES_MAX: u32 = 4;
/// How long a peer's host does not respond before a connection ends, in milliseconds: several times the pause
/// of a sound path.
pub const LOST_AFTER_MS: u32 = PROBE_INTERVAL_MS as u32 * (PROBES_MAX + 1);
/// The length up to which a request is confirmed by a host whose process does not read, in bytes. Of a
/// longer one the rest stays unconfirmed while the window is full.
const SHORT_MAX_BYTES: usize = 16 * 1024;

/// Makes the operating system probe a connection while nothing arrives on it.
///
/// # Examples
/// ```
/// use std::net::{TcpListener, TcpStream};
///
/// let listener = TcpListener::bind("127.0.0.1:0")?;
/// let stream = TcpStream::connect(listener.local_addr()?)?;
/// lycheehub_net::keep_alive::enable(&stream)?;
/// # Ok::<(), std::io::Error>(())
/// ```
///
/// # Errors
/// Fails if the connection has ended.
pub fn enable(stream: impl AsFd) -> io::Result<()> {
    let interval = Duration::from_millis(PROBE_INTERVAL_MS);
    sockopt::set_tcp_keepidle(&stream, interval)?;
    sockopt::set_tcp_keepintvl(&stream, interval)?;
    sockopt::set_tcp_keepcnt(&stream, PROBES_MAX)?;
    Ok(sockopt::set_socket_keepalive(&stream, true)?)
}

/// Makes a connection end if its peer's host does not confirm the request that is sent next. While it does
/// not, no probes are sent.
///
/// # Examples
/// ```
/// # use std::net::{TcpListener, TcpStream};
/// # let listener = TcpListener::bind("127.0.0.1:0")?;
/// # let stream = TcpStream::connect(listener.local_addr()?)?;
/// let request = b"GET / HTTP/1.1\r\n\r\n";
/// lycheehub_net::keep_alive::require_confirmation(&stream, request.len())?;
/// # Ok::<(), std::io::Error>(())
/// ```
///
/// # Errors
/// Fails if the connection has ended.
pub fn require_confirmation(stream: impl AsFd, request_bytes: usize) -> io::Result<()> {
    let is_short = request_bytes <= SHORT_MAX_BYTES;
    let timeout_ms = if is_short { LOST_AFTER_MS } else { 0 };
    Ok(sockopt::set_tcp_user_timeout(&stream, timeout_ms)?)
}
