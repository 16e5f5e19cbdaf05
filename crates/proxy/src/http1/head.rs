//! Heads of requests and answers.

use super::{Error, Framing};
use smol_str::SmolStr;

/// Header fields that concern one connection only.
const CONNECTION_FIELDS: [&str; 8] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "expect",
];

/// Header fields in their order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Headers {
    fields: Vec<(SmolStr, Vec<u8>)>,
}

impl Headers {
    fn new(parsed: &[httparse::Header<'_>]) -> Self {
        let fields = parsed.iter().map(|field| (field.name.into(), field.value.to_vec()));
        Self { fields: fields.collect() }
    }

    /// Adds a field.
    pub fn push(&mut self, name: &str, value: impl Into<Vec<u8>>) {
        self.fields.push((name.into(), value.into()));
    }

    /// Returns all fields.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &[u8])> + Clone {
        self.fields.iter().map(|(name, value)| (name.as_str(), value.as_slice()))
    }

    /// Returns the values of the fields of this name.
    pub fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a [u8]> + Clone {
        self.iter().filter(move |(other, _)| other.eq_ignore_ascii_case(name)).map(|(_, v)| v)
    }

    /// Returns the first value of this name, if it is text.
    ///
    /// # Examples
    /// ```
    /// let mut headers = lycheehub_proxy::http1::Headers::default();
    /// headers.push("Host", "salto.example");
    /// assert_eq!(headers.text("host"), Some("salto.example"));
    /// ```
    pub fn text(&self, name: &str) -> Option<&str> {
        let (_, value) = self.iter().find(|(other, _)| other.eq_ignore_ascii_case(name))?;
        std::str::from_utf8(value).ok().map(str::trim)
    }

    /// Tells whether a field that lists words has this one.
    pub fn has_word(&self, name: &str, word: &str) -> bool {
        let mut words = self
            .all(name)
            .filter_map(|value| std::str::from_utf8(value).ok())
            .flat_map(|value| value.split(','));
        words.any(|other| other.trim().eq_ignore_ascii_case(word))
    }

    /// Returns the fields that are passed on: those that concern more than this connection, and
    /// of which `is_dropped` does not hold.
    pub fn onward(&self, is_dropped: impl Fn(&str) -> bool) -> Self {
        let concerns_connection = |name: &str| {
            CONNECTION_FIELDS.iter().any(|field| field.eq_ignore_ascii_case(name))
                || self.has_word("connection", name)
        };
        let kept = self.fields.iter().filter(|(name, _)| {
            !name.eq_ignore_ascii_case("content-length")
                && !concerns_connection(name)
                && !is_dropped(name)
        });
        Self { fields: kept.cloned().collect() }
    }

    /// Appends the fields as they are sent.
    pub fn write(&self, out: &mut Vec<u8>) {
        for (name, value) in &self.fields {
            out.extend_from_slice(name.as_bytes());
            out.extend_from_slice(b": ");
            out.extend_from_slice(value);
            out.extend_from_slice(b"\r\n");
        }
    }

    /// Returns the length that the fields state, if they do.
    fn content_length(&self) -> Result<Option<u64>, Error> {
        let mut found = None;
        for value in self.all("content-length") {
            let length = parse_length(value)?;
            if found.is_some_and(|other| other != length) {
                return Err(Error::Malformed("two lengths"));
            }
            found = Some(length);
        }
        Ok(found)
    }

    fn is_chunked(&self) -> Result<bool, Error> {
        let mut codings = self.all("transfer-encoding").peekable();
        if codings.peek().is_none() {
            return Ok(false);
        }
        let is_chunked = |value: &[u8]| value.trim_ascii().eq_ignore_ascii_case(b"chunked");
        if codings.clone().count() != 1 || !codings.all(is_chunked) {
            return Err(Error::Malformed("transfer coding"));
        }
        Ok(true)
    }

    /// Returns how the body is framed; nothing where the fields do not say it.
    fn framing(&self) -> Result<Option<Framing>, Error> {
        let length = self.content_length()?;
        if !self.is_chunked()? {
            return Ok(length.map(Framing::Length));
        }
        if length.is_some() {
            return Err(Error::Malformed("both a length and chunks"));
        }
        Ok(Some(Framing::Chunked))
    }
}

fn parse_length(value: &[u8]) -> Result<u64, Error> {
    let value = value.trim_ascii();
    let is_number = !value.is_empty() && value.iter().all(u8::is_ascii_digit);
    let text = std::str::from_utf8(value).ok().filter(|_| is_number);
    text.and_then(|text| text.parse().ok()).ok_or(Error::Malformed("length"))
}

/// The head of a request.
#[derive(Clone, Debug)]
pub struct RequestHead {
    /// The method.
    pub method: SmolStr,
    /// The path with the query, as the caller sent it.
    pub target: SmolStr,
    /// The header fields.
    pub headers: Headers,
    /// How the body is framed.
    pub framing: Framing,
    /// Whether the caller keeps the connection open.
    pub keeps_alive: bool,
}

impl RequestHead {
    pub(super) fn new(parsed: &httparse::Request<'_, '_>) -> Result<Self, Error> {
        let headers = Headers::new(parsed.headers);
        if headers.all("host").count() > 1 {
            return Err(Error::Malformed("two hosts"));
        }
        let is_newest = parsed.version == Some(1);
        let keeps_alive = if is_newest {
            !headers.has_word("connection", "close")
        } else {
            headers.has_word("connection", "keep-alive")
        };
        let framing = headers.framing()?.unwrap_or(Framing::Length(0));
        if !is_newest && framing == Framing::Chunked {
            return Err(Error::Malformed("chunks in an old version"));
        }
        Ok(Self {
            method: parsed.method.unwrap_or_default().into(),
            target: parsed.path.unwrap_or_default().into(),
            framing,
            keeps_alive,
            headers,
        })
    }

    /// Returns the path without the query.
    pub fn path(&self) -> &str {
        self.target.split(['?', '#']).next().unwrap_or_default()
    }

    /// Tells whether the caller waits for a word before it sends the body.
    pub fn expects_continue(&self) -> bool {
        self.headers.has_word("expect", "100-continue")
    }
}

/// The head of an answer.
#[derive(Clone, Debug)]
pub struct ResponseHead {
    /// The status.
    pub status: u16,
    /// The words beside the status.
    pub reason: SmolStr,
    /// The header fields.
    pub headers: Headers,
    /// How the body is framed, where the request was not for a head only.
    pub framing: Framing,
    /// Whether the endpoint keeps the connection open.
    pub keeps_alive: bool,
}

impl ResponseHead {
    pub(super) fn new(parsed: &httparse::Response<'_, '_>) -> Result<Self, Error> {
        let headers = Headers::new(parsed.headers);
        let status = parsed.code.unwrap_or_default();
        let has_no_body = matches!(status, 100..=199 | 204 | 304);
        let stated = headers.framing()?;
        let framing =
            if has_no_body { Framing::Length(0) } else { stated.unwrap_or(Framing::UntilClose) };
        let is_newest = parsed.version == Some(1);
        let keeps_alive =
            is_newest && framing != Framing::UntilClose && !headers.has_word("connection", "close");
        let reason = parsed.reason.unwrap_or_default().into();
        Ok(Self { status, reason, framing, keeps_alive, headers })
    }

    /// Returns after how long the endpoint wants the next request, in milliseconds, if it says so in
    /// a way that makes sense: fractions of seconds do, less than nothing does not.
    pub fn retry_after_ms(&self) -> Option<u64> {
        let seconds: f64 = self.headers.text("retry-after")?.parse().ok()?;
        (seconds.is_finite() && seconds >= 0.0).then_some((seconds * 1e3) as u64)
    }

    /// Returns for how long the endpoint keeps an idle connection, in milliseconds, if it says so.
    pub fn idle_timeout_ms(&self) -> Option<u64> {
        let value = self.headers.text("keep-alive")?;
        let mut parameters = value.split(',').filter_map(|part| part.trim().split_once('='));
        let (_, seconds) = parameters.find(|(name, _)| name.eq_ignore_ascii_case("timeout"))?;
        seconds.trim().parse::<u64>().ok().map(|seconds| seconds * 1_000)
    }
}
