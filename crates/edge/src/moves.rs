//! Gives orders to engines while this host holds the lease.
//!
//! Only the holder of the lease orders engines to load and unload models and adapters. It plans
//! from the demand that all hosts report, and it serves the copy requests of hosts whose calls wait
//! for an adapter.

use crate::clock;
use crate::decision_log;
use crate::exchange::closes_connection;
use crate::message::HostMessage;
use crate::notices::{apply_notice, complain, AnsweringTarget};
use crate::shell::EdgeShell;
use crocusyard_adapter::headers::set_expected_target;
use crocusyard_adapter::orders::ORDER_PATH;
use crocusyard_adapter::prelude::*;
use crocusyard_base::prelude::*;
use crocusyard_httpconn::prelude::*;
use crocusyard_serving::adapters::{adapter_rates, next_adapter_step, AdapterStep};
use crocusyard_serving::copies::EngineView;
use crocusyard_serving::orders::apply_order;
use crocusyard_serving::prelude::*;
use http_body_util::Full;
use hyper::header::{HeaderValue, CONTENT_TYPE, HOST};
use hyper::{HeaderMap, Method, Request};
use log::warn;
use serde_json::json;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Pause between two plans; the hosts report new demand with every heartbeat.
const PLAN_INTERVAL: Duration = Duration::from_millis(100);
/// Longest time to wait for an engine's answer to an order or to a request for its report.
const ENGINE_TIMEOUT: Duration = Duration::from_millis(400);

/// Longest report of an engine that is read, bytes; a report with 1,000 adapters takes a tenth.
const MAX_REPORT_BYTES: usize = 512 * 1024;

/// Time for which a copy request is kept; a host that still waits repeats it sooner.
const COPY_REQUEST_TTL: ClockTime = ClockTime::from_ms(500);

/// Plans and gives orders for as long as this host holds the lease.
pub(crate) async fn give_orders(shell: Rc<EdgeShell>) {
    loop {
        actix_rt::time::sleep(PLAN_INTERVAL).await;
        if shell.order_fence().is_some() {
            plan_round(&shell);
            serve_copy_requests(&shell);
        }
    }
}

/// Asks engines for the reports that are due, repeats unanswered orders and plans new ones.
fn plan_round(shell: &Rc<EdgeShell>) {
    let now = clock::now();
    let engines = engine_addresses(shell);
    let incarnations = engines
        .iter()
        .map(|(name, engine)| (name.clone(), engine.incarnation))
        .collect();
    shell.orders.borrow_mut().sync_engines(&incarnations);
    let due = shell.orders.borrow_mut().reports_due(now);
    for name in due {
        if let Some(engine) = engines.get(&name) {
            actix_rt::spawn(request_report(shell.clone(), name, engine.clone()));
        }
    }
    let retries = shell.orders.borrow_mut().take_retries(now);
    for (name, action, expected) in retries {
        if let Some(engine) = engines.get(&name) {
            send_order(shell, &name, engine, action, expected);
        }
    }
    let rules = shell.serving.borrow().rules().cloned();
    let Some(rules) = rules else {
        return;
    };
    {
        let mut demands = shell.demands.borrow_mut();
        shell.trend.borrow_mut().update(demands.total(now), now);
    }
    for (service, rule) in &rules.services {
        if let Some(rule) = &rule.engine {
            plan_service(shell, service, rule, &engines, now);
        }
    }
}

/// Address and incarnation of an engine, with its service.
#[derive(Clone, Debug)]
struct EngineAddress {
    service: ServiceName,
    address: SocketAddr,
    incarnation: u64,
}

/// Returns the engines that are not leaving, by name.
fn engine_addresses(shell: &EdgeShell) -> BTreeMap<TargetName, EngineAddress> {
    let serving = shell.serving.borrow();
    let Some(rules) = serving.rules() else {
        return BTreeMap::new();
    };
    serving
        .targets
        .iter()
        .filter(|state| !state.is_leaving() && rules.engine(&state.record.service).is_some())
        .map(|state| {
            let engine = EngineAddress {
                service: state.record.service.clone(),
                address: state.record.address,
                incarnation: state.record.incarnation,
            };
            (state.record.name.clone(), engine)
        })
        .collect()
}

/// Plans and gives the orders to the engines of one service.
fn plan_service(
    shell: &Rc<EdgeShell>,
    service: &ServiceName,
    rule: &EngineRule,
    engines: &BTreeMap<TargetName, EngineAddress>,
    now: ClockTime,
) {
    // Copied, since giving an order may lead to copy requests, which borrow the demand totals
    // again.
    let demand: Vec<ModelDemand> = shell
        .demands
        .borrow_mut()
        .total(now)
        .iter()
        .filter(|demand| demand.service == *service)
        .cloned()
        .collect();
    let engine_views = engine_views(shell, service, now);
    let held = engine_views
        .iter()
        .flat_map(|engine| engine.holdings.models.keys().cloned())
        .collect();
    let mut trend = shell.trend.borrow_mut();
    trend.note_copies(service, &held, now);
    let of_models = |time: &dyn Fn(&ModelName) -> ClockTime| {
        let models = rule.models.keys();
        models.map(|model| (model.clone(), time(model))).collect()
    };
    let input = PlanInput {
        rule,
        engines: engine_views,
        demand: &demand,
        forecast: demand_forecast(&trend, service, rule, now),
        idle: of_models(&|model| trend.idle_time(service, model, now)),
        missed_for: of_models(&|model| trend.missed_for(service, model, now)),
        loads_left: shell.orders.borrow_mut().loads_left(service, rule, now),
    };
    drop(trend);
    for (name, action) in plan_orders(&input) {
        let Some(engine) = engines.get(&name) else {
            continue;
        };
        give_order(shell, &name, engine, action);
    }
}

/// Returns the slots that each model of a service is expected to need.
fn demand_forecast(
    trend: &DemandTrend,
    service: &ServiceName,
    rule: &EngineRule,
    now: ClockTime,
) -> HashMap<ModelName, f64> {
    rule.models
        .keys()
        .map(|model| {
            let slots = trend.expected_slots(service, rule, model, now);
            (model.clone(), slots)
        })
        .collect()
}

/// Returns what the planner needs to know about each engine of a service.
fn engine_views(shell: &EdgeShell, service: &ServiceName, now: ClockTime) -> Vec<EngineView> {
    let serving = shell.serving.borrow();
    let orders = shell.orders.borrow();
    serving
        .targets
        .of_service(service)
        .map(|state| {
            let name = &state.record.name;
            let known = orders.holdings(name);
            EngineView {
                name: name.clone(),
                domain: state.record.domain.clone(),
                holdings: known.cloned().unwrap_or_else(|| TargetHoldings {
                    accepted_orders: 0,
                    models: state.models.clone(),
                }),
                in_memory: state.record.in_memory.clone(),
                on_disk: state.record.on_disk.clone(),
                loading_model: orders.loading_model(name).cloned(),
                unloading: orders.is_unloading(name),
                held_for: orders.held_for(name, now),
                loading_adapter: orders.loading_adapter(name),
                recent_adapters: orders.recent_adapters(name, now),
                accepts_orders: orders.accepts_orders(name, now)
                    && !state.is_avoided(now)
                    && state.pause_left(now).is_none(),
            }
        })
        .collect()
}

/// Records an order as begun and sends it, unless the engine takes no order at the moment.
fn give_order(
    shell: &Rc<EdgeShell>,
    name: &TargetName,
    engine: &EngineAddress,
    action: OrderAction,
) {
    let now = clock::now();
    let expected = shell
        .orders
        .borrow_mut()
        .begin(&engine.service, name, &action, now);
    let Some(expected) = expected else {
        return;
    };
    publish_unload(shell, name, engine, &action);
    send_order(shell, name, engine, action, expected);
}

/// Reports an unload to all hosts before it is ordered, so that they send no more calls to that
/// copy.
fn publish_unload(
    shell: &EdgeShell,
    name: &TargetName,
    engine: &EngineAddress,
    action: &OrderAction,
) {
    if matches!(
        action,
        OrderAction::LoadModel(_) | OrderAction::LoadAdapter(..)
    ) {
        return;
    }
    let Some(mut holdings) = shell.orders.borrow().holdings(name).cloned() else {
        return;
    };
    apply_order(&mut holdings, action);
    publish_holdings(shell, name, engine.incarnation, &holdings.models);
}

/// Reports what an engine holds to all hosts, this one included.
fn publish_holdings(
    shell: &EdgeShell,
    name: &TargetName,
    incarnation: u64,
    models: &crocusyard_serving::targets::HeldModels,
) {
    let version = shell.lease.borrow().version().unwrap_or(0);
    shell.broadcast(&HostMessage::Holdings {
        version,
        target: name.clone(),
        incarnation,
        models: models.clone(),
    });
    shell.dispatch(ServingEvent::Holdings {
        target: name.clone(),
        incarnation,
        models: models.clone(),
    });
}

/// Starts the task that delivers an order, if the lease still allows orders.
fn send_order(
    shell: &Rc<EdgeShell>,
    name: &TargetName,
    engine: &EngineAddress,
    action: OrderAction,
    expected: u64,
) {
    let Some(fence) = shell.order_fence() else {
        return;
    };
    let order = EngineOrder {
        target: name.clone(),
        address: engine.address,
        action,
        expected,
        fence,
    };
    actix_rt::spawn(deliver_order(shell.clone(), order, engine.clone()));
}

/// Sends an order and records its answer.
async fn deliver_order(shell: Rc<EdgeShell>, order: EngineOrder, engine: EngineAddress) {
    let body = match write_order(&order, &shell.settings.name) {
        Ok(body) => body,
        Err(error) => {
            warn!("an order to an engine cannot be serialized: {error}");
            return;
        }
    };
    let call = EngineCall {
        method: Method::POST,
        path: ORDER_PATH,
        body,
        fence: Some(order.fence),
    };
    let answer = call_engine(&shell, &order.target, &engine, call);
    let status = answer.await.map(|(status, _)| status);
    let answer = status.map_or(OrderAnswer::Unknown, read_order_answer);
    shell.metrics.count_order(answer);
    decision_log::log_change(
        "order",
        "answered",
        json!({
            "target": order.target.as_str(),
            "action": format!("{:?}", order.action),
            "expected": order.expected,
            "fence": order.fence.0,
            "status": status,
        }),
    );
    let time = action_time(&shell, &engine.service, &order.action);
    let holdings = shell.orders.borrow_mut().receive_answer(
        &order.target,
        &order.action,
        answer,
        time,
        clock::now(),
    );
    if let Some(holdings) = holdings {
        publish_holdings(&shell, &order.target, engine.incarnation, &holdings.models);
    }
    serve_copy_requests(&shell);
}

/// Returns the time that an engine needs to carry out an accepted order; zero unless it loads a
/// model.
fn action_time(shell: &EdgeShell, service: &ServiceName, action: &OrderAction) -> ClockTime {
    let serving = shell.serving.borrow();
    let rule = serving.rules().and_then(|rules| rules.engine(service));
    match action {
        OrderAction::LoadModel(model) => rule
            .and_then(|rule| rule.models.get(model))
            .map_or(ClockTime::ZERO, |model| model.warm_time),
        _ => ClockTime::ZERO,
    }
}

/// A request to the engine itself, as opposed to a caller's request that it runs.
struct EngineCall {
    method: Method,
    path: &'static str,
    body: Vec<u8>,
    /// Fencing number that must still hold when the request is written; `None` for a request that
    /// needs no lease.
    fence: Option<FencingNumber>,
}

/// Sends a request to an engine; returns the status and the body of the answer, or `None` if there
/// was none.
async fn call_engine(
    shell: &EdgeShell,
    target: &TargetName,
    engine: &EngineAddress,
    call: EngineCall,
) -> Option<(u16, bytes::Bytes)> {
    if wants_pause(shell, target) {
        return None;
    }
    let address = engine.address;
    let EngineCall {
        method,
        path,
        body,
        fence,
    } = call;
    let mut request = Request::new(Full::new(bytes::Bytes::from(body)));
    *request.method_mut() = method;
    *request.uri_mut() = path.parse().ok()?;
    *request.headers_mut() = engine_headers(target, address);
    let exchange = async {
        let mut conn = shell.pool.acquire(address).await?;
        // The lease may have ended while the connection was opened.
        if fence.is_some() && shell.order_fence() != fence {
            let reason = "the lease has ended".to_owned();
            return Err(SendError::Unsent { reason });
        }
        let (parts, body) = conn.send(request).await?.into_parts();
        // An answer to a call, which the target has sent once more, is none to this request.
        if names_a_request(&parts.headers) {
            let reason = "the answer belongs to a call".to_owned();
            return Err(SendError::Lost {
                reason,
                malformed: true,
            });
        }
        let status = parts.status;
        let answering = AnsweringTarget {
            name: target,
            incarnation: engine.incarnation,
        };
        apply_notice(shell, answering, status.as_u16(), &parts.headers, true);
        if closes_connection(&parts.headers) {
            conn.close_after_answer();
        }
        let body = conn.read_body(body).await?;
        conn.release().await;
        Ok((status, body))
    };
    match actix_rt::time::timeout(ENGINE_TIMEOUT, exchange).await {
        Ok(Ok((status, body))) => Some((status.as_u16(), body)),
        Ok(Err(error)) => {
            warn!("the request for {path} to engine {target} failed: {error}");
            None
        }
        Err(_) => {
            warn!("engine {target} did not answer the request for {path} in time");
            None
        }
    }
}

/// Returns whether a target wants no request from this host at present.
fn wants_pause(shell: &EdgeShell, target: &TargetName) -> bool {
    let serving = shell.serving.borrow();
    let state = serving.targets.get(target);
    state.is_some_and(|state| state.pause_left(clock::now()).is_some())
}

fn engine_headers(target: &TargetName, address: SocketAddr) -> HeaderMap {
    let mut headers = HeaderMap::new();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if let Ok(host) = HeaderValue::from_str(&address.to_string()) {
        headers.insert(HOST, host);
    }
    set_expected_target(&mut headers, target);
    headers
}

/// Asks an engine for its report and publishes the holdings in it, unless the report is outdated.
async fn request_report(shell: Rc<EdgeShell>, name: TargetName, engine: EngineAddress) {
    let call = EngineCall {
        method: Method::GET,
        path: REPORT_PATH,
        body: Vec::new(),
        fence: None,
    };
    let answer = call_engine(&shell, &name, &engine, call);
    let Some((200, body)) = answer.await else {
        return;
    };
    if body.len() > MAX_REPORT_BYTES {
        let problem = format!("the report has {} bytes", body.len());
        complain(&shell, &name, "long_report", &problem);
        return;
    }
    match read_report(&body) {
        Ok(report) => {
            let holdings = shell
                .orders
                .borrow_mut()
                .receive_report(&name, &report, clock::now());
            if let Some(holdings) = holdings {
                publish_holdings(&shell, &name, engine.incarnation, &holdings.models);
            }
        }
        Err(error) => {
            let problem = format!("the report cannot be decoded: {error}");
            complain(&shell, &name, "malformed_report", &problem);
        }
    }
}

/// Records that a host waits for a copy of an adapter, and orders the copy if that is possible now.
pub(crate) fn request_copy(shell: &Rc<EdgeShell>, service: ServiceName, need: CallNeed) {
    if need.adapter.is_none() || !shell.lease.borrow().is_holder() {
        return;
    }
    shell
        .copy_requests
        .borrow_mut()
        .insert((service, need), clock::now());
    serve_copy_requests(shell);
}

/// Gives orders for the copies that hosts have requested.
fn serve_copy_requests(shell: &Rc<EdgeShell>) {
    let now = clock::now();
    if shell.order_fence().is_none() {
        return;
    }
    let requests: Vec<(ServiceName, CallNeed)> = {
        let mut requests = shell.copy_requests.borrow_mut();
        requests.retain(|_, requested_at| now.since(*requested_at) < COPY_REQUEST_TTL);
        requests.keys().cloned().collect()
    };
    if requests.is_empty() {
        return;
    }
    let Some(rules) = shell.serving.borrow().rules().cloned() else {
        return;
    };
    let rates = adapter_rates(shell.demands.borrow_mut().total(now));
    let engines = engine_addresses(shell);
    let mut views: HashMap<ServiceName, Vec<EngineView>> = HashMap::new();
    for (service, need) in requests {
        let Some(rule) = rules.engine(&service) else {
            continue;
        };
        let views = views
            .entry(service.clone())
            .or_insert_with(|| engine_views(shell, &service, now));
        let step = next_adapter_step(rule, views, &rates, &need, |name| {
            let serving = shell.serving.borrow();
            serving.targets.get(name).map_or(0, |state| state.load(now))
        });
        match step {
            AdapterStep::Held(name) => {
                republish_holdings(shell, &name);
                shell.copy_requests.borrow_mut().remove(&(service, need));
            }
            AdapterStep::Order(name, action) => {
                mark_ordered(views, &name, &action);
                if let Some(engine) = engines.get(&name) {
                    give_order(shell, &name, engine, action);
                }
            }
            AdapterStep::Wait => {}
        }
    }
}

/// Marks in the views that an engine was given an order, so that it gets no second one.
fn mark_ordered(views: &mut [EngineView], name: &TargetName, action: &OrderAction) {
    let Some(view) = views.iter_mut().find(|view| view.name == *name) else {
        return;
    };
    view.accepts_orders = false;
    if let OrderAction::LoadAdapter(model, adapter) = action {
        view.loading_adapter = Some(CallNeed::adapter(model, adapter));
    }
}

/// Reports again what an engine holds, since the host that requests the copy has missed the first
/// report.
fn republish_holdings(shell: &EdgeShell, name: &TargetName) {
    let models = shell
        .orders
        .borrow()
        .holdings(name)
        .map(|held| held.models.clone());
    let incarnation = shell
        .serving
        .borrow()
        .targets
        .get(name)
        .map(|state| state.record.incarnation);
    if let (Some(models), Some(incarnation)) = (models, incarnation) {
        publish_holdings(shell, name, incarnation, &models);
    }
}
