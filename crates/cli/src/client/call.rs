//! Calls to instances.

use crate::exit::{Code, Error};
use http_types::{Body, Method, Request, Url};
use lycheehub_clock::within;
use lycheehub_types::PeerError;
use serde::de::DeserializeOwned;
use smol::io::AsyncReadExt;
use smol::net::TcpStream;

/// How long one instance may take to answer, in milliseconds.
const CALL_TIMEOUT_MS: u64 = 10_000;
/// Where an instance is looked for where none is named.
const DEFAULT_TO: &str = "127.0.0.1:7100";
/// The key of the embedded settings.
const DEFAULT_KEY: &str = "try-operator";

/// A client with the instances to try in turn.
pub struct Client {
    to: Vec<String>,
    key: String,
}

/// A call.
pub struct Call<'a> {
    /// The method.
    pub method: Method,
    /// The path below the operators' calls.
    pub path: String,
    /// Headers.
    pub headers: Vec<(&'a str, String)>,
    /// The body.
    pub body: Vec<u8>,
}

impl Call<'_> {
    /// Makes a call that reads.
    pub fn get(path: impl Into<String>) -> Self {
        Self { method: Method::Get, path: path.into(), headers: Vec::new(), body: Vec::new() }
    }
}

/// An answer.
pub struct Reply {
    /// The HTTP status.
    pub status: u16,
    /// The body.
    pub body: Vec<u8>,
}

impl Reply {
    /// Decodes the body.
    ///
    /// # Errors
    /// Fails with the instance's message where the call was refused.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, Error> {
        if self.status >= 400 {
            return Err(self.refused());
        }
        serde_json::from_slice(&self.body).map_err(|error| {
            Error::new(Code::Failed, format!("the answer does not decode: {error}"))
        })
    }

    /// Makes an error of the instance's message.
    pub fn refused(&self) -> Error {
        let value: serde_json::Value = serde_json::from_slice(&self.body).unwrap_or_default();
        let message = value["error"]["message"].as_str().or(value["message"].as_str());
        let message = message.unwrap_or("the instance refused the call").to_owned();
        let code = match self.status {
            422 => Code::Invalid,
            409 => Code::Conflict,
            503 => Code::NotApplied,
            504 => Code::Unknown,
            _ => Code::Failed,
        };
        Error::new(code, message)
    }
}

impl Client {
    /// Makes a client from the command line or the environment.
    ///
    /// # Errors
    /// Fails where the key file cannot be read.
    pub fn new(to: Option<&str>, key_file: Option<&str>) -> Result<Self, Error> {
        let named = std::env::var("LYCHEEHUB_TO").ok();
        let to = to.or(named.as_deref()).unwrap_or(DEFAULT_TO);
        let key_path = std::env::var("LYCHEEHUB_KEY_FILE").ok();
        let key = match key_file.or(key_path.as_deref()) {
            Some(path) => read_key(path)?,
            None => DEFAULT_KEY.to_owned(),
        };
        Ok(Self { to: to.split(',').map(|part| part.trim().to_owned()).collect(), key })
    }

    /// Makes a call at the first instance that answers.
    ///
    /// # Errors
    /// Names the step and the instance of each attempt where none answered.
    pub fn call(&self, call: &Call<'_>) -> Result<Reply, Error> {
        let mut failures = Vec::new();
        let mut sent = false;
        for address in &self.to {
            match smol::block_on(self.call_at(address, call, &mut sent)) {
                Ok(reply) if reply.status == 503 && self.to.len() > 1 => {
                    failures.push(format!("call at {address}: {}", reply.refused()));
                }
                Ok(reply) => return Ok(reply),
                Err(error) => failures.push(error.to_string()),
            }
        }
        let code =
            if sent && call.method != Method::Get { Code::Unknown } else { Code::NotApplied };
        Err(Error::new(code, failures.join("; ")))
    }

    async fn call_at(
        &self,
        address: &str,
        call: &Call<'_>,
        sent: &mut bool,
    ) -> Result<Reply, PeerError> {
        let late = || Err(PeerError::TimedOut("call", address.into(), CALL_TIMEOUT_MS));
        within(CALL_TIMEOUT_MS, self.exchange(address, call, sent)).await.unwrap_or_else(late)
    }

    async fn exchange(
        &self,
        address: &str,
        call: &Call<'_>,
        sent: &mut bool,
    ) -> Result<Reply, PeerError> {
        let url = format!("http://{address}/v1/operators/{}", call.path);
        let url = Url::parse(&url).map_err(|error| PeerError::failed("address", address, error))?;
        let mut request = Request::new(call.method, url);
        request.insert_header("authorization", format!("Bearer {}", self.key));
        request.insert_header("connection", "close");
        for (name, value) in &call.headers {
            request.insert_header(*name, value.as_str());
        }
        request.set_body(Body::from_bytes(call.body.clone()));
        let stream = TcpStream::connect(address).await;
        let stream = stream.map_err(|error| PeerError::failed("connect", address, error))?;
        *sent = true;
        let response = async_h1::connect(stream, request).await;
        let mut response = response.map_err(|error| PeerError::failed("call", address, error))?;
        let mut body = Vec::new();
        let read = response.read_to_end(&mut body).await;
        read.map_err(|error| PeerError::failed("read answer", address, error))?;
        Ok(Reply { status: u16::from(response.status()), body })
    }
}

/// Reads a key: alone in the file, or after an operator's name.
fn read_key(path: &str) -> Result<String, Error> {
    let text = std::fs::read_to_string(path).map_err(|error| {
        Error::new(Code::Failed, format!("cannot read the operator's key {path}: {error}"))
    })?;
    let line = text.lines().find(|line| !line.trim().is_empty()).unwrap_or_default();
    Ok(line.split_whitespace().last().unwrap_or_default().to_owned())
}
