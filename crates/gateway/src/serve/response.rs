//! Sends a request on a connection to an endpoint, and finds where the body of its response ends.

use crate::http::{Framing, MessageStream};
use async_h1::client::{Encoder, decode};
use futures_lite::io;
use http_types::{Body, Method, Request, Response, StatusCode, format_err};

/// Maximum number of interim (1xx) responses before the final one.
const INTERIM_RESPONSES_MAX: u32 = 16;

/// Sends a request and receives the head of its final response.
///
/// # Errors
/// Fails if the connection ends before, or if the head does not decode or does not say where its body ends.
pub(super) async fn exchange(
    mut stream: MessageStream,
    request: Request,
) -> http_types::Result<Response> {
    let method = request.method();
    io::copy(&mut Encoder::new(request), &mut stream).await?;
    for _ in 0..=INTERIM_RESPONSES_MAX {
        let response = decode(stream.clone()).await?;
        if !stream.has_whole_head() {
            return Err(format_err!("a head that does not end in CR LF CR LF"));
        }
        if !response.status().is_informational() {
            return with_body(stream, method, response);
        }
        stream.begin_head();
    }
    Err(format_err!("too many interim responses"))
}

/// Completes a decoded response, whose body the decoder takes for empty unless it has a length or chunks.
fn with_body(
    stream: MessageStream,
    method: Method,
    mut response: Response,
) -> http_types::Result<Response> {
    let has_no_body = method == Method::Head
        || matches!(response.status(), StatusCode::NoContent | StatusCode::NotModified);
    if has_no_body {
        response.set_body(Body::empty());
        stream.begin_body(Framing::Length(0));
        return Ok(response);
    }
    let framing = framing_of(&response)?;
    stream.begin_body(framing);
    if framing == Framing::UntilClose {
        response.set_body(Body::from_reader(io::BufReader::new(stream), None));
        response.insert_header("connection", "close");
    }
    Ok(response)
}

fn framing_of(response: &Response) -> http_types::Result<Framing> {
    let values = |name| response.header(name).into_iter().flat_map(|values| values.iter());
    let codings: Vec<_> = values("transfer-encoding").map(|value| value.as_str()).collect();
    match codings[..] {
        [] => {}
        ["chunked"] => return Ok(Framing::Chunked),
        _ => return Err(format_err!("unknown transfer coding")),
    }
    let mut lengths = values("content-length").map(|value| value.as_str());
    let Some(length) = lengths.next() else { return Ok(Framing::UntilClose) };
    if lengths.any(|other| other != length) || !length.bytes().all(|byte| byte.is_ascii_digit()) {
        return Err(format_err!("two lengths, or one that is no number"));
    }
    Ok(Framing::Length(length.parse()?))
}
