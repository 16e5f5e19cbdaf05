//! The chain of filters that a request passes before it is placed.

use super::Exchange;
use lycheehub_routes::RouteSpec;
use lycheehub_routes::table::draw_target;
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
    let drawn = draw_target(&route.targets, &exchange.fields.id);
    drawn
        .cloned()
        .ok_or_else(|| Refusal::new(RefusalKind::UnknownService, "the route has no service"))
}
