//! Bearer keys. They are read from files, compared by digest in constant time, and never logged.

use quick_error::quick_error;
use sha2::{Digest, Sha256};
use smol_str::SmolStr;
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::sync::{Mutex, PoisonError};
use std::time::SystemTime;
use subtle::ConstantTimeEq;

quick_error! {
    /// A key file that cannot be used.
    #[derive(Debug)]
    pub enum Error {
        /// The file cannot be read.
        Read(path: PathBuf, cause: std::io::Error) {
            display("cannot read keys from {}: {}", path.display(), cause)
            source(cause)
        }
        /// A line is not a name and a key.
        Line(path: PathBuf, line: usize) {
            display("{}:{}: expected a name and a key with a space between", path.display(), line)
        }
    }
}

type Digests = BTreeMap<SmolStr, [u8; 32]>;

/// The keys of a file with a name and a key on each line.
///
/// The file is read again when its modification time changes. If it then cannot be read or has an
/// invalid line, the previous keys stay valid.
#[derive(Debug)]
pub struct KeyFile {
    path: Option<PathBuf>,
    loaded: Mutex<(Option<SystemTime>, Digests)>,
}

impl KeyFile {
    /// Reads a key file.
    ///
    /// # Errors
    /// Fails if the file cannot be read or a line is not a name and a key.
    pub fn open(path: &Path) -> Result<Self, Error> {
        let digests = read(path)?;
        let loaded = Mutex::new((modified(path), digests));
        Ok(Self { path: Some(path.to_owned()), loaded })
    }

    /// Creates a set of keys without a file.
    ///
    /// # Examples
    /// ```
    /// let keys = lycheehub_gateway::keys::KeyFile::fixed([("ana", "secret")]);
    /// assert_eq!(keys.owner_of("secret").as_deref(), Some("ana"));
    /// assert_eq!(keys.owner_of("other"), None);
    /// ```
    pub fn fixed<'a>(keys: impl IntoIterator<Item = (&'a str, &'a str)>) -> Self {
        let digests = keys.into_iter().map(|(name, key)| (name.into(), digest(key))).collect();
        Self { path: None, loaded: Mutex::new((None, digests)) }
    }

    /// Returns the name of the owner of `key`.
    pub fn owner_of(&self, key: &str) -> Option<SmolStr> {
        let mut loaded = self.loaded.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(path) = &self.path {
            let changed = modified(path);
            if changed != loaded.0
                && let Ok(digests) = read(path)
            {
                *loaded = (changed, digests);
            }
        }
        let given_digest = digest(key);
        let mut owner = None;
        for (name, key_digest) in &loaded.1 {
            if bool::from(key_digest.ct_eq(&given_digest)) {
                owner = Some(name.clone());
            }
        }
        owner
    }
}

fn modified(path: &Path) -> Option<SystemTime> {
    std::fs::metadata(path).and_then(|data| data.modified()).ok()
}

fn read(path: &Path) -> Result<Digests, Error> {
    let text =
        std::fs::read_to_string(path).map_err(|cause| Error::Read(path.to_owned(), cause))?;
    let mut digests = Digests::new();
    for (index, line) in text.lines().enumerate() {
        let line = line.trim();
        if line.is_empty() || line.starts_with('#') {
            continue;
        }
        let Some((name, key)) = line.split_once(char::is_whitespace) else {
            return Err(Error::Line(path.to_owned(), index + 1));
        };
        digests.insert(name.into(), digest(key.trim()));
    }
    Ok(digests)
}

/// Returns the SHA-256 digest of a key.
pub fn digest(key: &str) -> [u8; 32] {
    Sha256::digest(key.as_bytes()).into()
}
