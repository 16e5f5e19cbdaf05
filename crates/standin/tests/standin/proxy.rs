//! The proxy's connections to a host that dies without telling its peers.

use lycheehub_standin::proxy::Proxy;
use std::io::{ErrorKind, Read, Result, Write};
use std::net::{TcpListener, TcpStream};
use std::time::Duration;

/// How long a read waits for bytes that must not come.
const QUIET: Duration = Duration::from_millis(300);

fn connect(proxy: &Proxy, listener: &TcpListener) -> (TcpStream, TcpStream) {
    let mut near = TcpStream::connect(proxy.address()).unwrap();
    let (mut far, _) = listener.accept().unwrap();
    near.write_all(b"a").unwrap();
    far.read_exact(&mut [0]).unwrap();
    (near, far)
}

/// Reads a byte, again if the process was stopped and continued meanwhile.
fn read_uninterrupted(stream: &mut TcpStream) -> Result<usize> {
    loop {
        match stream.read(&mut [0]) {
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            result => return result,
        }
    }
}

#[test]
fn an_abandoned_connection_hangs_for_the_side_that_connected() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let proxy = Proxy::start(&listener.local_addr().unwrap().to_string()).unwrap();
    let (mut near, mut far) = connect(&proxy, &listener);
    proxy.abandon();
    assert_eq!(far.read(&mut [0]).unwrap(), 0, "the other side has ended");
    near.set_read_timeout(Some(QUIET)).unwrap();
    near.write_all(b"b").unwrap();
    let error = read_uninterrupted(&mut near).expect_err("neither bytes nor a close");
    assert_eq!(error.kind(), ErrorKind::WouldBlock);
    near.write_all(b"c").unwrap();
}

#[test]
fn a_connection_after_an_abandonment_passes() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let proxy = Proxy::start(&listener.local_addr().unwrap().to_string()).unwrap();
    let (_abandoned, _) = connect(&proxy, &listener);
    proxy.abandon();
    let (mut near, mut far) = connect(&proxy, &listener);
    far.write_all(b"d").unwrap();
    let mut received = [0];
    near.read_exact(&mut received).unwrap();
    assert_eq!(received, *b"d");
}
