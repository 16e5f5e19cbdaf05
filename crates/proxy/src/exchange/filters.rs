//! Filters that a request passes before it is placed.

use super::Exchange;
use crate::shutdown;
use lycheehub_routes::table::choose_target;
use lycheehub_routes::{AccountSpec, RouteSpec};
use lycheehub_types::{AccountName, Refusal, RefusalKind, Region, ServiceName};

/// The route, service and account of a request.
#[derive(Clone, Debug)]
pub(super) struct ResolvedRequest {
    pub(super) route: RouteSpec,
    pub(super) service: ServiceName,
    pub(super) account: Option<AccountName>,
    pub(super) tier: u8,
    /// The regions in which the request may run; `None` if it may run anywhere.
    pub(super) regions: Option<Vec<Region>>,
}

/// Applies all filters to a request.
pub(super) fn resolve(exchange: &Exchange<'_>) -> Result<ResolvedRequest, Refusal> {
    check_ready(exchange)?;
    let route = find_route(exchange)?;
    check_stop(exchange, route)?;
    let account = find_account(exchange, route)?;
    let service = choose_service(exchange, route)?;
    Ok(ResolvedRequest {
        route: route.clone(),
        service,
        account: account.map(|account| account.name.clone()),
        tier: account.and_then(|account| account.tier).unwrap_or(route.rank),
        regions: route.regions_for(account),
    })
}

/// Refuses all requests while the route document is not known to be recent.
fn check_ready(exchange: &Exchange<'_>) -> Result<(), Refusal> {
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

/// Refuses a request that may still run when this instance exits, so that it is not interrupted.
///
/// Load pattern: all instances of a failure domain are stopped in turn, and the load balancer sends
/// requests to a stopping instance if it has no better one.
fn check_stop(exchange: &Exchange<'_>, route: &RouteSpec) -> Result<(), Refusal> {
    let duration_ms = exchange.fields.deadline_ms.unwrap_or(u64::MAX / 2).min(route.timeout_ms);
    if !exchange.entry.would_outlast_stop(duration_ms) {
        return Ok(());
    }
    Err(shutdown::refusal())
}

/// Returns the client account of the request's key, if it has one.
fn find_account<'a>(
    exchange: &'a Exchange<'_>,
    route: &RouteSpec,
) -> Result<Option<&'a AccountSpec>, Refusal> {
    let table = &exchange.snapshot.table;
    let key = exchange.fields.key.as_deref();
    if let Some(account) = key.and_then(|key| table.account_of(key)) {
        return Ok(Some(account));
    }
    if route.anonymous || table.document().accounts.is_empty() {
        return Ok(None);
    }
    Err(Refusal::new(RefusalKind::Unauthorized, "the key belongs to no client account"))
}

fn choose_service(exchange: &Exchange<'_>, route: &RouteSpec) -> Result<ServiceName, Refusal> {
    let chosen = choose_target(&route.targets, &exchange.fields.id);
    chosen
        .cloned()
        .ok_or_else(|| Refusal::new(RefusalKind::UnknownService, "the route has no service"))
}
