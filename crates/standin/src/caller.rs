//! Sends requests as callers and operators do.

use http_types::{Body, Method, Request, Response, Url};
use serde_json::Value;
use smol::io::{AsyncBufReadExt, AsyncReadExt};
use smol::net::TcpStream;

/// A request.
#[derive(Clone, Debug)]
pub struct Call {
    method: Method,
    path: String,
    headers: Vec<(String, String)>,
    body: Vec<u8>,
}

/// An answer, read whole.
#[derive(Clone, Debug, PartialEq)]
pub struct Reply {
    /// The HTTP status.
    pub status: u16,
    /// The headers that tests look at.
    pub retry_after: Option<String>,
    /// The body.
    pub body: Vec<u8>,
}

/// What came of a stream.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Streamed {
    /// The text of all tokens.
    pub text: String,
    /// How many tokens came.
    pub tokens: u64,
    /// The last event came.
    pub done: bool,
    /// When each token came, in milliseconds since the request was sent.
    pub token_times_ms: Vec<f64>,
}

impl Call {
    fn new(method: Method, path: &str) -> Self {
        Self { method, path: path.to_owned(), headers: Vec::new(), body: Vec::new() }
    }

    /// Makes a GET request.
    pub fn get(path: &str) -> Self {
        Self::new(Method::Get, path)
    }

    /// Makes a POST request.
    pub fn post(path: &str) -> Self {
        Self::new(Method::Post, path)
    }

    /// Makes a PUT request.
    pub fn put(path: &str) -> Self {
        Self::new(Method::Put, path)
    }

    /// Makes a chat request with one message.
    pub fn chat(model: &str, prompt: &str, max_tokens: u64, stream: bool) -> Self {
        let body = serde_json::json!({
            "model": model,
            "messages": [{ "role": "user", "content": prompt }],
            "max_tokens": max_tokens,
            "stream": stream,
        });
        Self::post("/v1/chat/completions").body(body.to_string().into_bytes())
    }

    /// Adds the bearer key.
    pub fn key(self, key: &str) -> Self {
        self.header("authorization", &format!("Bearer {key}"))
    }

    /// Adds a header.
    pub fn header(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }

    /// Sets the body.
    pub fn body(mut self, body: Vec<u8>) -> Self {
        self.body = body;
        self
    }
}

impl Reply {
    /// Decodes the body; what is no JSON counts as null.
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }

    /// Returns the code of a refusal.
    pub fn code(&self) -> Option<String> {
        self.json()["error"]["code"].as_str().map(str::to_owned)
    }

    /// Tells whether the answer says that the request did not run.
    pub fn not_run(&self) -> bool {
        self.json()["error"]["not_run"] == true
    }
}

/// Returns the JSON text of the messages that [`Call::chat`] sends for a prompt.
pub fn chat_messages(prompt: &str) -> String {
    serde_json::json!([{ "role": "user", "content": prompt }]).to_string()
}

async fn begin(address: &str, call: &Call) -> http_types::Result<Response> {
    let url = Url::parse(&format!("http://{address}{}", call.path))?;
    let mut request = Request::new(call.method, url);
    for (name, value) in &call.headers {
        request.insert_header(name.as_str(), value.as_str());
    }
    request.insert_header("connection", "close");
    request.set_body(Body::from_bytes(call.body.clone()));
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    async_h1::connect(stream, request).await
}

/// Sends a request and reads the answer whole.
///
/// # Errors
/// Fails where the connection fails or the answer is cut short.
pub async fn send(address: &str, call: &Call) -> http_types::Result<Reply> {
    let mut response = begin(address, call).await?;
    let expected = response.len();
    let mut body = Vec::new();
    response.read_to_end(&mut body).await?;
    if expected.is_some_and(|length| length != body.len()) {
        return Err(http_types::format_err!("the answer was cut short"));
    }
    let retry_after = response.header("retry-after").map(|values| values.as_str().to_owned());
    Ok(Reply { status: u16::from(response.status()), retry_after, body })
}

/// Sends a request and reads the answer as a stream of events; a refusal is the error.
///
/// # Errors
/// Fails with the refusal, or with nothing where the connection failed or the stream was cut; what
/// came until then is in `streamed`.
pub async fn stream(
    address: &str,
    call: &Call,
    streamed: &mut Streamed,
) -> Result<(), Option<Reply>> {
    let begun = std::time::Instant::now();
    let mut response = begin(address, call).await.map_err(|_| None)?;
    let status = u16::from(response.status());
    let retry_after = response.header("retry-after").map(|values| values.as_str().to_owned());
    if status != 200 {
        let mut body = Vec::new();
        response.read_to_end(&mut body).await.map_err(|_| None)?;
        return Err(Some(Reply { status, retry_after, body }));
    }
    let mut line = String::new();
    loop {
        line.clear();
        let count = response.read_line(&mut line).await.map_err(|_| None)?;
        if count == 0 {
            return if streamed.done { Ok(()) } else { Err(None) };
        }
        let Some(data) = line.trim_end().strip_prefix("data: ") else { continue };
        if data == "[DONE]" {
            streamed.done = true;
            continue;
        }
        let value: Value = serde_json::from_str(data).unwrap_or_default();
        streamed.text.push_str(value["choices"][0]["delta"]["content"].as_str().unwrap_or(""));
        streamed.tokens += 1;
        streamed.token_times_ms.push(begun.elapsed().as_secs_f64() * 1e3);
    }
}
