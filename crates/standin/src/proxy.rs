//! A proxy between two processes that can be cut silently: connections stay open, nothing passes,
//! and no reset tells either side.

use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// How often a cut connection looks whether it is let through again.
const LOOK: Duration = Duration::from_millis(10);

/// A proxy to one address; it ends with the process.
#[derive(Debug)]
pub struct Proxy {
    address: SocketAddr,
    cut: Arc<AtomicBool>,
}

impl Proxy {
    /// Starts a proxy to `to`.
    ///
    /// # Errors
    /// Fails where it cannot listen.
    pub fn start(to: &str) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let cut = Arc::new(AtomicBool::new(false));
        let (to, shared) = (to.to_owned(), cut.clone());
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (to, cut) = (to.clone(), shared.clone());
                std::thread::spawn(move || pass(stream, &to, &cut));
            }
        });
        Ok(Self { address, cut })
    }

    /// Returns where the proxy listens.
    pub fn address(&self) -> String {
        self.address.to_string()
    }

    /// Cuts what passes, or lets it through again.
    pub fn set_cut(&self, cut: bool) {
        self.cut.store(cut, Ordering::Relaxed);
    }
}

fn pass(near: TcpStream, to: &str, cut: &Arc<AtomicBool>) {
    wait_while(cut);
    let Ok(far) = TcpStream::connect(to) else { return };
    // Latency alone suffers where this fails.
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    let (Ok(near_reader), Ok(far_reader)) = (near.try_clone(), far.try_clone()) else { return };
    let shared = cut.clone();
    std::thread::spawn(move || copy(near_reader, far, &shared));
    copy(far_reader, near, cut);
}

fn wait_while(cut: &AtomicBool) {
    while cut.load(Ordering::Relaxed) {
        std::thread::sleep(LOOK);
    }
}

fn copy(mut from: TcpStream, mut to: TcpStream, cut: &AtomicBool) {
    let mut buffer = [0; 16 * 1024];
    while let Ok(count) = from.read(&mut buffer) {
        wait_while(cut);
        if count == 0 || to.write_all(&buffer[..count]).is_err() {
            break;
        }
    }
    // Either side may have closed already.
    let _ = (from.shutdown(Shutdown::Both), to.shutdown(Shutdown::Both));
}
