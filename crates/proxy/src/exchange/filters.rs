//! The chain of filters that a request passes before it is placed.

use super::Exchange;
use lycheehub_routes::RouteSpec;
use lycheehub_routes::table::choose_target;
use lycheehub_types::{AccountName, Refusal, RefusalKind, ServiceName};

/// What the chain finds out.
#[derive(Clone, Debug)]
pub(super) struct Identified {
    pub(super) route: RouteSpec,
    pub(super) service: ServiceName,
    pub(super) account: Option<AccountName>,
    pub(super) tier: u8,
}

/// Passes a request through the chain.
pub(super) fn identify(exchange: &Exchange<'_>) -> Result<Identified, Refusal> {
    is_ready(exchange)?;
    let route = find_route(exchange)?;
    ends_in_time(exchange, route)?;
    let (account, tier) = find_account(exchange, route)?;
    let service = draw_service(exchange, route)?;
    Ok(Identified { route: route.clone(), service, account, tier })
}

/// Without a document that is known to be recent, nothing can be said of any request.
fn is_ready(exchange: &Exchange<'_>) -> Result<(), Refusal> {
    const RETRY_AFTER_MS: u64 = 500;
    if exchange.snapshot.is_ready {
        return Ok(());
    }
    let message = "this instance does not know the routes yet";
    Err(Refusal::retry(RefusalKind::NotReady, message, RETRY_AFTER_MS))
}

fn find_route<'a>(exchange: &'a Exchange<'_>) -> Result<&'a RouteSpec, Refusal> {
    let host = exchange.head.headers.text("host").unwrap_or_default();
    let route = exchange.snapshot.table.route(host, exchange.head.path());
    route.ok_or_else(|| Refusal::new(RefusalKind::NotFound, "no route takes this host and path"))
}

/// Load pattern: all instances of a place are stopped in turn, and the balancer sends requests to
/// those that it has none better for. One that may still run at the end is refused, and not cut off.
fn ends_in_time(exchange: &Exchange<'_>, route: &RouteSpec) -> Result<(), Refusal> {
    const RETRY_AFTER_MS: u64 = 300;
    let for_ms = exchange.fields.deadline_ms.unwrap_or(u64::MAX / 2).min(route.timeout_ms);
    if !exchange.entry.is_too_late(for_ms) {
        return Ok(());
    }
    let message = "this instance is being stopped";
    Err(Refusal::retry(RefusalKind::Stopping, message, RETRY_AFTER_MS))
}

fn find_account(
    exchange: &Exchange<'_>,
    route: &RouteSpec,
) -> Result<(Option<AccountName>, u8), Refusal> {
    let table = &exchange.snapshot.table;
    let key = exchange.fields.key.as_deref();
    if let Some(account) = key.and_then(|key| table.account_of(key)) {
        return Ok((Some(account.name.clone()), account.tier.unwrap_or(route.rank)));
    }
    if route.anonymous || table.document().accounts.is_empty() {
        return Ok((None, route.rank));
    }
    Err(Refusal::new(RefusalKind::Unauthorized, "the key belongs to no client account"))
}

fn draw_service(exchange: &Exchange<'_>, route: &RouteSpec) -> Result<ServiceName, Refusal> {
    let drawn = choose_target(&route.targets, &exchange.fields.id);
    drawn
        .cloned()
        .ok_or_else(|| Refusal::new(RefusalKind::UnknownService, "the route has no service"))
}
