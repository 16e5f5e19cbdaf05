//! Orders to load a version: carried out after a while, refused where the fencing number is old and
//! the stand-in checks it.

use super::records::Ordered;
use super::server::Shared;
use http_types::{Request, Response, StatusCode};
use serde::Deserialize;
use smol::Timer;
use std::sync::Arc;
use std::time::Duration;

#[derive(Deserialize)]
struct Load {
    version: String,
    fence: Fence,
}

#[derive(Deserialize)]
struct Fence {
    term: u64,
    counter: u64,
}

pub(super) async fn take(
    shared: &Arc<Shared>,
    mut request: Request,
) -> http_types::Result<Response> {
    let load: Load = request.body_json().await?;
    let fence = (load.fence.term, load.fence.counter);
    let taken = shared.pass_fence(fence);
    shared.records.push_order(Ordered {
        endpoint: shared.options.name.clone(),
        version: load.version.clone(),
        fence,
        taken,
    });
    if !taken {
        return Ok(Response::new(StatusCode::Conflict));
    }
    let loading = shared.clone();
    let task = async move {
        Timer::after(Duration::from_millis(loading.options.load_ms)).await;
        loading.set_version(load.version);
    };
    shared.executor.spawn(task).detach();
    Ok(Response::new(StatusCode::Ok))
}
