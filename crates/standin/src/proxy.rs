//! A proxy between two processes, by which the connections between them are disturbed: silenced,
//! cut one way, delayed, refused or reset.

use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// How often a held connection looks whether it is let through again.
const LOOK: Duration = Duration::from_millis(10);

/// What becomes of what passes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mode {
    /// It passes.
    #[default]
    Open,
    /// Nothing passes either way; connections stay open and no reset tells either side.
    Silent,
    /// Nothing passes from the side that connects; the other way is open.
    SilentForth,
    /// Nothing passes to the side that connects; the other way is open.
    SilentBack,
    /// Each piece is held for so long, in milliseconds.
    Delayed(u64),
    /// New connections are closed at once.
    Refused,
}

impl Mode {
    fn holds(self, way: Way) -> bool {
        match self {
            Self::Silent => true,
            Self::SilentForth => way == Way::Forth,
            Self::SilentBack => way == Way::Back,
            Self::Open | Self::Delayed(_) | Self::Refused => false,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Way {
    Forth,
    Back,
}

#[derive(Debug, Default)]
struct Shared {
    mode: Mutex<Mode>,
    /// Connections that began under an earlier number are reset.
    resets: AtomicU64,
    /// Connections that began under an earlier number hang.
    abandonments: AtomicU64,
}

impl Shared {
    fn mode(&self) -> Mode {
        *self.mode.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the numbers under which a connection begins now.
    fn start(&self) -> Start {
        Start {
            resets: self.resets.load(Ordering::Relaxed),
            abandonments: self.abandonments.load(Ordering::Relaxed),
        }
    }

    fn is_reset(&self, start: Start) -> bool {
        self.resets.load(Ordering::Relaxed) != start.resets
    }

    fn is_abandoned(&self, start: Start) -> bool {
        self.abandonments.load(Ordering::Relaxed) != start.abandonments
    }
}

/// The numbers of [`Shared`] under which a connection began.
#[derive(Clone, Copy, Debug)]
struct Start {
    resets: u64,
    abandonments: u64,
}

/// A proxy to one address; it ends with the process.
#[derive(Clone, Debug)]
pub struct Proxy {
    address: SocketAddr,
    shared: Arc<Shared>,
}

impl Proxy {
    /// Starts a proxy to `to` at a free address.
    ///
    /// # Errors
    /// Fails where it cannot listen.
    pub fn start(to: &str) -> io::Result<Self> {
        Self::start_at("127.0.0.1:0", to)
    }

    /// Starts a proxy to `to` that listens at `at`.
    ///
    /// # Errors
    /// Fails where it cannot listen.
    pub fn start_at(at: &str, to: &str) -> io::Result<Self> {
        let listener = TcpListener::bind(at)?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared::default());
        let (to, passed_on) = (to.to_owned(), shared.clone());
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (to, shared) = (to.clone(), passed_on.clone());
                std::thread::spawn(move || pass(stream, &to, &shared));
            }
        });
        Ok(Self { address, shared })
    }

    /// Returns where the proxy listens.
    pub fn address(&self) -> String {
        self.address.to_string()
    }

    /// Cuts what passes, or lets it through again.
    pub fn set_cut(&self, cut: bool) {
        self.set_mode(if cut { Mode::Silent } else { Mode::Open });
    }

    /// Says what becomes of what passes from now on.
    pub fn set_mode(&self, mode: Mode) {
        *self.shared.mode.lock().unwrap_or_else(PoisonError::into_inner) = mode;
    }

    /// Closes all connections that are open.
    pub fn reset(&self) {
        self.shared.resets.fetch_add(1, Ordering::Relaxed);
    }

    /// Lets all connections that are open hang until the connecting side closes them, as if the host at the
    /// other side were gone. New ones pass.
    pub fn abandon(&self) {
        self.shared.abandonments.fetch_add(1, Ordering::Relaxed);
    }
}

fn pass(near: TcpStream, to: &str, shared: &Arc<Shared>) {
    let start = shared.start();
    while shared.mode().holds(Way::Forth) && !shared.is_reset(start) {
        std::thread::sleep(LOOK);
    }
    if shared.mode() == Mode::Refused {
        return;
    }
    if shared.is_abandoned(start) {
        return discard(&near, start, shared);
    }
    let Ok(far) = TcpStream::connect(to) else { return };
    // Latency alone suffers where this fails.
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    let (Ok(near_reader), Ok(far_reader)) = (near.try_clone(), far.try_clone()) else { return };
    let forth = shared.clone();
    std::thread::spawn(move || copy(near_reader, far, Way::Forth, start, &forth));
    copy(far_reader, near, Way::Back, start, shared);
}

/// Copies until either side closes, or the proxy resets or abandons its connections.
fn copy(mut from: TcpStream, mut to: TcpStream, way: Way, start: Start, shared: &Shared) {
    let mut buffer = [0; 16 * 1024];
    // Without the pauses a reset would only be seen with the next piece.
    let looks = from.set_read_timeout(Some(LOOK)).is_ok();
    let is_over = || shared.is_reset(start) || shared.is_abandoned(start);
    while !is_over() {
        let count = match from.read(&mut buffer) {
            Ok(count) => count,
            Err(error) if looks && is_pause(&error) => continue,
            Err(_) => break,
        };
        while shared.mode().holds(way) && !is_over() {
            std::thread::sleep(LOOK);
        }
        if let Mode::Delayed(delay_ms) = shared.mode() {
            std::thread::sleep(Duration::from_millis(delay_ms));
        }
        if count == 0 || is_over() || to.write_all(&buffer[..count]).is_err() {
            break;
        }
    }
    let (near, far) = if way == Way::Forth { (&from, &to) } else { (&to, &from) };
    if shared.is_abandoned(start) {
        // The connection may have ended already.
        let _ = far.shutdown(Shutdown::Both);
        discard(near, start, shared);
    }
    // Either side may have closed already.
    let _ = (from.shutdown(Shutdown::Both), to.shutdown(Shutdown::Both));
}

/// Returns whether a read with a timeout ended without bytes on a connection that is open. One whose process was
/// stopped and continued meanwhile is interrupted.
fn is_pause(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted)
}

/// Discards what arrives until the side that connected closes, or the proxy resets its connections.
fn discard(mut near: &TcpStream, start: Start, shared: &Shared) {
    let mut buffer = [0; 16 * 1024];
    // Without the pauses a reset would not be seen.
    let looks = near.set_read_timeout(Some(LOOK)).is_ok();
    while !shared.is_reset(start) {
        match near.read(&mut buffer) {
            Ok(0) => return,
            Err(error) if looks && is_pause(&error) => {}
            Err(_) => return,
            Ok(_) => {}
        }
    }
}
