//! Who makes an operator's call. The port has no key, so some calls are for the same machine only.

use http_types::Request;
use lycheehub_types::{Refusal, RefusalKind};
use std::net::{Ipv4Addr, Ipv6Addr, SocketAddr};

/// The ends of a connection.
#[derive(Clone, Copy)]
pub(super) struct Ends {
    caller: Option<SocketAddr>,
    own: Option<SocketAddr>,
}

impl Ends {
    pub(super) fn of(request: &Request) -> Self {
        let parse = |text: Option<&str>| text.and_then(|text| text.parse().ok());
        Self { caller: parse(request.peer_addr()), own: parse(request.local_addr()) }
    }

    /// Refuses a call unless both ends are on the same machine.
    pub(super) fn require_same_machine(&self) -> Result<(), Refusal> {
        if self.is_same_machine() {
            return Ok(());
        }
        let message = "call it on the machine of this instance";
        Err(Refusal::new(RefusalKind::Unauthorized, message))
    }

    fn is_same_machine(&self) -> bool {
        let Some(caller) = self.caller.map(|address| address.ip()) else { return false };
        let is_local = [Ipv4Addr::LOCALHOST.into(), Ipv6Addr::LOCALHOST.into()].contains(&caller);
        is_local || self.own.is_some_and(|own| own.ip() == caller)
    }

    /// Returns the caller's address for log lines.
    pub(super) fn caller_text(&self) -> String {
        self.caller.map_or_else(|| "an unknown address".to_owned(), |at| at.to_string())
    }
}
