//! Requests state changes from a peer.

use lycheehub_control::state::Feed;
use lycheehub_wire::peer_capnp::peer;

/// Requests the changes after `revision` by a long poll of at most `wait_ms`.
pub(crate) async fn follow(
    peer: peer::Client,
    revision: u64,
    wait_ms: u32,
) -> Result<Feed, capnp::Error> {
    let mut request = peer.follow_request();
    request.get().set_revision(revision);
    request.get().set_wait_ms(wait_ms);
    let reply = request.send().promise.await?;
    decode(reply.get()?.get_feed()?)
}

/// Requests the changes after `revision` as confirmed by a quorum; returns `None` if no quorum
/// confirms them.
pub(crate) async fn read(peer: peer::Client, revision: u64) -> Result<Option<Feed>, capnp::Error> {
    let mut request = peer.read_request();
    request.get().set_revision(revision);
    let reply = request.send().promise.await?;
    let reply = reply.get()?;
    if !reply.get_confirmed() {
        return Ok(None);
    }
    decode(reply.get_feed()?).map(Some)
}

fn decode(bytes: &[u8]) -> Result<Feed, capnp::Error> {
    Feed::decode(bytes).map_err(|error| capnp::Error::failed(error.to_string()))
}
