//! A crowd of connections that send bodies and stay open.

use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

/// How long a write may wait for a process that reads no more.
const WRITE_TIMEOUT: Duration = Duration::from_secs(3);
/// How much larger a body is than allowed, if it is too long.
const TOO_LONG_FACTOR: usize = 8;
/// Of so many connections one sends its body to the end, where others stop short.
const ENDING: usize = 4;
/// Bytes of a piece, of a large chunk and of a small one.
const PIECE_BYTES: usize = 64 * 1024;
const LARGE_CHUNK_BYTES: usize = 256 * 1024;
const SMALL_CHUNK_BYTES: usize = 64;
/// The interval between looks at the memory of a process.
const LOOK: Duration = Duration::from_millis(20);

/// How the bodies of a crowd are sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Form {
    /// Whole, in one piece.
    Whole,
    /// In one piece, most of them without the last byte.
    Short,
    /// In pieces, most of them without the last byte.
    Pieces,
    /// In large chunks, most of them without the last one's end.
    LargeChunks,
    /// In small chunks, most of them without the last one's end.
    SmallChunks,
    /// With a length far over the limit.
    AnnouncedTooLong,
    /// In chunks, far over the limit.
    SentTooLong,
}

/// Connections that have sent, or still send, their bodies; they close when it is dropped.
pub struct Crowd {
    threads: Vec<JoinHandle<Option<TcpStream>>>,
    sending: Arc<AtomicUsize>,
}

impl Crowd {
    /// Connects `count` times and sends `head` and a body of `length` on each connection.
    pub fn start(address: &str, head: &str, form: Form, count: usize, length: usize) -> Self {
        let sending = Arc::new(AtomicUsize::new(count));
        let start = |number: usize| {
            let (address, head, sending) = (address.to_owned(), head.to_owned(), sending.clone());
            let ends = number.is_multiple_of(ENDING);
            std::thread::spawn(move || {
                let stream = TcpStream::connect(address).ok();
                if let Some(stream) = &stream {
                    stream.set_write_timeout(Some(WRITE_TIMEOUT)).unwrap();
                    // Fails if the process refuses the rest.
                    let _ = send(stream, &head, form, length, ends);
                }
                sending.fetch_sub(1, Ordering::Relaxed);
                stream
            })
        };
        Self { threads: (0..count).map(start).collect(), sending }
    }

    /// Waits until all have sent what they send; returns the most memory that was used, in bytes.
    pub fn most_memory_while_sending(&self, memory_used: impl Fn() -> u64) -> u64 {
        let mut most_bytes = 0;
        while self.sending.load(Ordering::Relaxed) > 0 {
            most_bytes = most_bytes.max(memory_used());
            std::thread::sleep(LOOK);
        }
        most_bytes
    }
}

impl Drop for Crowd {
    fn drop(&mut self) {
        for thread in self.threads.drain(..) {
            // The stream closes.
            let _ = thread.join();
        }
    }
}

fn send(
    mut stream: &TcpStream,
    head: &str,
    form: Form,
    length: usize,
    ends: bool,
) -> std::io::Result<()> {
    let announced = match form {
        Form::LargeChunks | Form::SmallChunks | Form::SentTooLong => None,
        Form::AnnouncedTooLong => Some(length * TOO_LONG_FACTOR),
        Form::Whole | Form::Short | Form::Pieces => Some(length),
    };
    let framing = announced.map_or("Transfer-Encoding: chunked".to_owned(), |length| {
        format!("Content-Length: {length}")
    });
    stream.write_all(format!("{head}{framing}\r\n\r\n").as_bytes())?;
    let is_short = form != Form::Whole && !ends;
    match form {
        Form::Whole | Form::Short => stream.write_all(&vec![b'a'; length - usize::from(is_short)]),
        Form::Pieces => send_pieces(stream, length - usize::from(is_short)),
        Form::AnnouncedTooLong => send_pieces(stream, length * TOO_LONG_FACTOR - 1),
        Form::LargeChunks => send_chunks(stream, length, LARGE_CHUNK_BYTES, is_short),
        Form::SmallChunks => send_chunks(stream, length, SMALL_CHUNK_BYTES, is_short),
        Form::SentTooLong => send_chunks(stream, length * TOO_LONG_FACTOR, LARGE_CHUNK_BYTES, true),
    }
}

fn send_pieces(mut stream: &TcpStream, length: usize) -> std::io::Result<()> {
    let piece = vec![b'a'; PIECE_BYTES];
    let mut left = length;
    while left > 0 {
        let count = left.min(piece.len());
        stream.write_all(&piece[..count])?;
        left -= count;
    }
    Ok(())
}

/// Sends a body in chunks, several in a write; without the last one's end if it `is_short`.
fn send_chunks(
    mut stream: &TcpStream,
    length: usize,
    chunk: usize,
    is_short: bool,
) -> std::io::Result<()> {
    let framed = format!("{chunk:x}\r\n{}\r\n", "a".repeat(chunk));
    let per_write = PIECE_BYTES.div_ceil(chunk);
    let bytes = framed.repeat(per_write);
    let mut left = length;
    while left > chunk * per_write {
        stream.write_all(bytes.as_bytes())?;
        left -= chunk * per_write;
    }
    if is_short {
        return stream.write_all(&framed.as_bytes()[..framed.len() - 3]);
    }
    stream.write_all(b"0\r\n\r\n")
}
