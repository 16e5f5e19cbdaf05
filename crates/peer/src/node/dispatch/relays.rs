//! Names instances that reach endpoints to those that may have lost their path.

use super::super::Node;
use super::SessionKey;
use super::bounds::ABSENT_AFTER_MS;
use smol_str::SmolStr;

/// The number of instances that are named in a reply.
const RELAYS_MAX: usize = 4;
/// How often other instances are named, in milliseconds.
const ROTATION_MS: u64 = 2_000;

impl Node {
    /// Records whether an instance reports that it reaches no endpoint itself.
    pub(crate) fn set_path_lost(&self, session: SessionKey, is_lost: bool) {
        self.with_dispatcher(session, |dispatcher, now_ms| {
            if dispatcher.is_path_lost(session.instance) != is_lost {
                dispatcher.set_path_lost(now_ms, session.instance, is_lost);
            }
        });
    }

    /// Returns the addresses of some instances that reach endpoints and relay connections.
    pub(crate) fn relays(&self, session: SessionKey) -> Vec<SmolStr> {
        let now_ms = self.clock.now_ms();
        let dispatch = self.dispatch.borrow();
        let Some(dispatch) = dispatch.as_ref() else { return Vec::new() };
        let usable = dispatch.sessions.iter().filter(|(number, other)| {
            **number != session.instance
                && !dispatch.dispatcher.is_path_lost(**number)
                && now_ms < other.last_seen_ms + ABSENT_AFTER_MS
                && !other.relay_address.is_empty()
        });
        let addresses: Vec<&SmolStr> = usable.map(|(_, other)| &other.relay_address).collect();
        let first = (now_ms / ROTATION_MS) as usize + session.instance as usize * RELAYS_MAX;
        let count = addresses.len().min(RELAYS_MAX);
        (0..count).map(|index| addresses[(first + index) % addresses.len()].clone()).collect()
    }
}
