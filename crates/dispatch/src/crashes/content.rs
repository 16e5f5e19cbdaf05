//! What endpoints may crash on: a part of a prompt, or the request itself.

use super::Prompt;
use crate::job::Job;
use std::fmt;

/// The identity of a request: a keyed digest of its method, path and query, client account and body.
/// Requests that are alike in these are the same one, whoever repeats it and at whichever instance.
///
/// # Examples
/// ```
/// use lycheehub_dispatch::crashes::RequestDigest;
///
/// let digest = RequestDigest::new(0xdead);
/// assert_eq!(RequestDigest::from(digest.to_bytes()), digest);
/// assert!(digest.to_string().ends_with("dead"));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestDigest(u128);

impl RequestDigest {
    /// The length of a digest, in bytes.
    pub const BYTES: usize = 16;

    /// Creates a digest from its value.
    pub fn new(value: u128) -> Self {
        Self(value)
    }

    /// Returns the bytes of the digest.
    pub fn to_bytes(self) -> [u8; Self::BYTES] {
        self.0.to_be_bytes()
    }
}

impl From<[u8; RequestDigest::BYTES]> for RequestDigest {
    fn from(bytes: [u8; RequestDigest::BYTES]) -> Self {
        Self(u128::from_be_bytes(bytes))
    }
}

impl TryFrom<&[u8]> for RequestDigest {
    type Error = std::array::TryFromSliceError;

    fn try_from(bytes: &[u8]) -> Result<Self, Self::Error> {
        <[u8; Self::BYTES]>::try_from(bytes).map(Self::from)
    }
}

impl fmt::Display for RequestDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

/// Something that endpoints may crash on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Suspect {
    /// A part of prompts, whatever else the request holds.
    Part(u64),
    /// A single request, whoever repeats it.
    Request(RequestDigest),
}

impl Suspect {
    /// Returns whether it is a single request.
    pub(super) fn is_request(&self) -> bool {
        matches!(self, Self::Request(_))
    }
}

/// What a request holds that endpoints may crash on.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Content {
    prompt: Prompt,
    digest: Option<RequestDigest>,
}

impl Content {
    /// Creates the content of a request; the digest is `None` if the instance that received it tells
    /// none.
    ///
    /// # Examples
    /// ```
    /// use lycheehub_dispatch::crashes::{Content, Prompt, RequestDigest, Suspect};
    ///
    /// let content = Content::new(Prompt::new([7, 9]), Some(RequestDigest::new(1)));
    /// let suspects = [Suspect::Part(7), Suspect::Request(RequestDigest::new(1))];
    /// assert!(content.has_all(&suspects));
    /// // An answer that has begun proves the parts sound, but not the request.
    /// assert!(content.after_begun_answer().has(suspects[1]));
    /// assert!(!content.after_begun_answer().has(suspects[0]));
    /// ```
    pub fn new(prompt: Prompt, digest: Option<RequestDigest>) -> Self {
        Self { prompt, digest }
    }

    /// Returns the prompt.
    pub fn prompt(&self) -> &Prompt {
        &self.prompt
    }

    /// Returns the identity of the request, if it is known.
    pub fn digest(&self) -> Option<RequestDigest> {
        self.digest
    }

    /// Returns all that endpoints may crash on.
    pub fn suspects(&self) -> impl Iterator<Item = Suspect> {
        let parts = self.prompt.shared().iter().copied().map(Suspect::Part);
        parts.chain(self.digest.map(Suspect::Request))
    }

    /// Returns whether there is nothing that endpoints may crash on.
    pub fn is_empty(&self) -> bool {
        self.prompt.shared().is_empty() && self.digest.is_none()
    }

    /// Returns whether the request holds `suspect`.
    pub fn has(&self, suspect: Suspect) -> bool {
        match suspect {
            Suspect::Part(part) => self.prompt.has(part),
            Suspect::Request(digest) => self.digest == Some(digest),
        }
    }

    /// Returns whether the request holds all of `suspects`.
    pub fn has_all(&self, suspects: &[Suspect]) -> bool {
        suspects.iter().all(|suspect| self.has(*suspect))
    }

    /// Returns what is still suspect once an answer has begun.
    pub fn after_begun_answer(&self) -> Self {
        Self { prompt: Prompt::default(), digest: self.digest }
    }
}

impl From<&Job> for Content {
    fn from(job: &Job) -> Self {
        Self::new(Prompt::from(&job.prefix[..]), job.digest)
    }
}
