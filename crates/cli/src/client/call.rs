//! The client of the instances' HTTP API for operators.

use crate::exit::{Code, Error};
use http_types::{Body, Method, Request, Url};
use lycheehub_clock::within;
use lycheehub_types::PeerError;
use serde::de::DeserializeOwned;
use smol::io::AsyncReadExt;
use smol::net::TcpStream;

/// The timeout of a call to one instance, in milliseconds.
const CALL_TIMEOUT_MS: u64 = 10_000;
/// The address of the instance that is called if none is given.
const DEFAULT_ADDRESS: &str = "127.0.0.1:7100";
/// The operator's key in the embedded settings, used if no key file is given.
const DEFAULT_KEY: &str = "try-operator";

/// A client that tries its instances in turn.
pub struct Client {
    addresses: Vec<String>,
    key: String,
}

/// A call.
pub struct Call<'a> {
    /// The method.
    pub method: Method,
    /// The path below `/v1/operators/`.
    pub path: String,
    /// The additional headers.
    pub headers: Vec<(&'a str, String)>,
    /// The body.
    pub body: Vec<u8>,
}

impl Call<'_> {
    /// Returns a GET call.
    pub fn get(path: impl Into<String>) -> Self {
        Self { method: Method::Get, path: path.into(), headers: Vec::new(), body: Vec::new() }
    }
}

/// A response.
pub struct Response {
    /// The HTTP status.
    pub status: u16,
    /// The body.
    pub body: Vec<u8>,
}

impl Response {
    /// Decodes the JSON body.
    ///
    /// # Errors
    /// Fails with the instance's message if the call was refused, or if the body does not decode.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, Error> {
        if self.status >= 400 {
            return Err(self.refusal());
        }
        serde_json::from_slice(&self.body).map_err(|error| {
            Error::new(Code::Failed, format!("cannot decode the response: {error}"))
        })
    }

    /// Returns the error of a refused call, with the instance's message.
    pub fn refusal(&self) -> Error {
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
    /// Creates a client from options of the command line or, without them, from the environment.
    ///
    /// # Errors
    /// Fails if the key file cannot be read.
    pub fn new(to: Option<&str>, key_file: Option<&str>) -> Result<Self, Error> {
        let env_to = std::env::var("LYCHEEHUB_TO").ok();
        let to = to.or(env_to.as_deref()).unwrap_or(DEFAULT_ADDRESS);
        let env_key_file = std::env::var("LYCHEEHUB_KEY_FILE").ok();
        let key = match key_file.or(env_key_file.as_deref()) {
            Some(path) => read_key(path)?,
            None => DEFAULT_KEY.to_owned(),
        };
        Ok(Self { addresses: to.split(',').map(|part| part.trim().to_owned()).collect(), key })
    }

    /// Makes a call to the first instance that responds. Where there are several instances, one
    /// that responds 503 counts as failed.
    ///
    /// # Errors
    /// Names the failed step and the instance of each attempt if no instance responded.
    pub fn call(&self, call: &Call<'_>) -> Result<Response, Error> {
        let mut failures = Vec::new();
        let mut sent = false;
        for address in &self.addresses {
            match smol::block_on(self.call_at(address, call, &mut sent)) {
                Ok(response) if response.status == 503 && self.addresses.len() > 1 => {
                    failures.push(format!("call at {address}: {}", response.refusal()));
                }
                Ok(response) => return Ok(response),
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
    ) -> Result<Response, PeerError> {
        let timed_out = || Err(PeerError::TimedOut("call", address.into(), CALL_TIMEOUT_MS));
        within(CALL_TIMEOUT_MS, self.exchange(address, call, sent)).await.unwrap_or_else(timed_out)
    }

    async fn exchange(
        &self,
        address: &str,
        call: &Call<'_>,
        sent: &mut bool,
    ) -> Result<Response, PeerError> {
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
        read.map_err(|error| PeerError::failed("read response", address, error))?;
        Ok(Response { status: u16::from(response.status()), body })
    }
}

/// Reads a key from the first line that is not blank: the key alone, or an operator's name and the
/// key.
fn read_key(path: &str) -> Result<String, Error> {
    let text = std::fs::read_to_string(path).map_err(|error| {
        Error::new(Code::Failed, format!("cannot read the operator's key {path}: {error}"))
    })?;
    let line = text.lines().find(|line| !line.trim().is_empty()).unwrap_or_default();
    Ok(line.split_whitespace().last().unwrap_or_default().to_owned())
}
