//! Heads of requests and responses.

use super::{Error, Framing};
use smol_str::SmolStr;
use std::ops::RangeInclusive;

/// Hop-by-hop header fields, which are not forwarded.
const HOP_BY_HOP_FIELDS: [&str; 8] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "expect",
];

/// Header fields in their original order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Headers {
    fields: Vec<(SmolStr, Vec<u8>)>,
}

impl Headers {
    fn new(parsed: &[httparse::Header<'_>]) -> Self {
        let fields = parsed.iter().map(|field| (field.name.into(), field.value.to_vec()));
        Self { fields: fields.collect() }
    }

    /// Appends a field.
    pub fn push(&mut self, name: &str, value: impl Into<Vec<u8>>) {
        self.fields.push((name.into(), value.into()));
    }

    /// Returns all fields.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &[u8])> + Clone {
        self.fields.iter().map(|(name, value)| (name.as_str(), value.as_slice()))
    }

    /// Returns the values of all fields of this name.
    pub fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a [u8]> + Clone {
        self.iter().filter(move |(other, _)| other.eq_ignore_ascii_case(name)).map(|(_, v)| v)
    }

    /// Returns the first value of this name, trimmed, if it is valid UTF-8.
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

    /// Returns whether a comma-separated field contains this token, ignoring case.
    pub fn has_token(&self, name: &str, token: &str) -> bool {
        let mut tokens = self
            .all(name)
            .filter_map(|value| std::str::from_utf8(value).ok())
            .flat_map(|value| value.split(','));
        tokens.any(|other| other.trim().eq_ignore_ascii_case(token))
    }

    /// Returns the fields to forward: all but hop-by-hop fields, `Content-Length` and those for which
    /// `is_dropped` holds.
    pub fn forwarded(&self, is_dropped: impl Fn(&str) -> bool) -> Self {
        let is_hop_by_hop = |name: &str| {
            HOP_BY_HOP_FIELDS.iter().any(|field| field.eq_ignore_ascii_case(name))
                || self.has_token("connection", name)
        };
        let kept = self.fields.iter().filter(|(name, _)| {
            !name.eq_ignore_ascii_case("content-length")
                && !is_hop_by_hop(name)
                && !is_dropped(name)
        });
        Self { fields: kept.cloned().collect() }
    }

    /// Appends the fields to `out` in wire format.
    pub fn write(&self, out: &mut Vec<u8>) {
        for (name, value) in &self.fields {
            out.extend_from_slice(name.as_bytes());
            out.extend_from_slice(b": ");
            out.extend_from_slice(value);
            out.extend_from_slice(b"\r\n");
        }
    }

    /// Returns the value of `Content-Length`, if present.
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

    /// Returns the framing of the body, or `None` if the fields do not specify it.
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

/// The status codes that HTTP defines classes for (RFC 9110, section 15). A response with another one says
/// nothing that a caller could rely on, and is handled like an error of the endpoint.
const STATUSES: RangeInclusive<u16> = 100..=599;

/// The head of a request.
#[derive(Clone, Debug)]
pub struct RequestHead {
    /// The method.
    pub method: SmolStr,
    /// The request target (path and query) as sent by the caller.
    pub target: SmolStr,
    /// The header fields.
    pub headers: Headers,
    /// The framing of the body.
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
        let is_http11 = parsed.version == Some(1);
        let keeps_alive = if is_http11 {
            !headers.has_token("connection", "close")
        } else {
            headers.has_token("connection", "keep-alive")
        };
        let framing = headers.framing()?.unwrap_or(Framing::Length(0));
        if !is_http11 && framing == Framing::Chunked {
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

    /// Returns whether the caller waits for `100 Continue` before it sends the body.
    pub fn expects_continue(&self) -> bool {
        self.headers.has_token("expect", "100-continue")
    }
}

/// The head of a response.
#[derive(Clone, Debug)]
pub struct ResponseHead {
    /// The status code.
    pub status: u16,
    /// The reason phrase.
    pub reason: SmolStr,
    /// The header fields.
    pub headers: Headers,
    /// The framing of the body, unless the request method was HEAD.
    pub framing: Framing,
    /// Whether the endpoint keeps the connection open.
    pub keeps_alive: bool,
}

impl ResponseHead {
    pub(super) fn new(parsed: &httparse::Response<'_, '_>) -> Result<Self, Error> {
        let headers = Headers::new(parsed.headers);
        let status = parsed.code.unwrap_or_default();
        if !STATUSES.contains(&status) {
            return Err(Error::Malformed("status code"));
        }
        let has_no_body = matches!(status, 100..=199 | 204 | 304);
        let declared = headers.framing()?;
        let framing =
            if has_no_body { Framing::Length(0) } else { declared.unwrap_or(Framing::UntilClose) };
        let is_http11 = parsed.version == Some(1);
        let keeps_alive = is_http11
            && framing != Framing::UntilClose
            && !headers.has_token("connection", "close");
        let reason = parsed.reason.unwrap_or_default().into();
        Ok(Self { status, reason, framing, keeps_alive, headers })
    }

    /// Returns whether the status is a success.
    pub fn is_success(&self) -> bool {
        (200..300).contains(&self.status)
    }

    /// Returns the value of `Retry-After` in milliseconds, if it is a valid number of seconds. Fractions
    /// are accepted, negative values are not.
    pub fn retry_after_ms(&self) -> Option<u64> {
        let seconds: f64 = self.headers.text("retry-after")?.parse().ok()?;
        (seconds.is_finite() && seconds >= 0.0).then_some((seconds * 1e3) as u64)
    }

    /// Returns the idle timeout that the endpoint announces in `Keep-Alive`, in milliseconds.
    pub fn idle_timeout_ms(&self) -> Option<u64> {
        let value = self.headers.text("keep-alive")?;
        let mut parameters = value.split(',').filter_map(|part| part.trim().split_once('='));
        let (_, seconds) = parameters.find(|(name, _)| name.eq_ignore_ascii_case("timeout"))?;
        seconds.trim().parse::<u64>().ok().map(|seconds| seconds.saturating_mul(1_000))
    }
}
