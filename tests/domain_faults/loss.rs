//! A failure domain that is lost at once under load of every kind.

use crate::callers::{CallTally, FollowingCaller};
use crate::support::*;
use crate::*;
use futures_util::future::join_all;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;

/// Accelerator memory of an engine, bytes: the engines of two domains hold every model.
const ENGINE_BYTES: u64 = 20_000_000_000;
/// What is resident at the start: each domain holds the last copy of some model.
const RESIDENT: [(&str, &[&str]); 3] = [
    (
        "asistente-1",
        &["easel=3000000000", "chalk-large=9000000000"],
    ),
    (
        "asistente-2",
        &[
            "easel=3000000000",
            "quill=7000000000",
            "chalk-small=4000000000",
        ],
    ),
    ("asistente-3", &["ink=6000000000", "slate=5000000000"]),
];
/// Callers of each model and, with and without a key, of the plain service.
const WORKERS: usize = 3;
/// Calls that each caller has to end after the loss.
const CALLS_AFTER: usize = 5;

/// Progress of one caller.
#[derive(Clone, Default)]
struct WorkerCount(Rc<Cell<usize>>);

/// State shared by the callers of the test.
struct LoadState {
    known: Vec<SocketAddr>,
    goes_on: Cell<bool>,
    counts: RefCell<Vec<WorkerCount>>,
    chats: RefCell<CallTally>,
    reads: RefCell<CallTally>,
    orders: RefCell<CallTally>,
}

impl LoadState {
    fn new(known: Vec<SocketAddr>) -> Self {
        Self {
            known,
            goes_on: Cell::new(true),
            counts: RefCell::default(),
            chats: RefCell::default(),
            reads: RefCell::default(),
            orders: RefCell::default(),
        }
    }

    fn register(&self) -> WorkerCount {
        let count = WorkerCount::default();
        self.counts.borrow_mut().push(count.clone());
        count
    }

    /// Waits until every caller has ended a number of further calls.
    async fn wait_calls(&self, calls: usize) {
        let counts = self.counts.borrow().clone();
        let wanted: Vec<_> = counts.iter().map(|count| count.0.get() + calls).collect();
        until("every caller goes on", || async {
            let mut pairs = counts.iter().zip(&wanted);
            pairs
                .all(|(count, least)| count.0.get() >= *least)
                .then_some(())
        })
        .await;
    }
}

async fn keep_chatting(load: &LoadState, model: &str, worker: usize) {
    let count = load.register();
    let mut caller = FollowingCaller::new(&load.known, &format!("model={model}"), &load.chats);
    while load.goes_on.get() {
        let name = format!("chat-{worker}-{}", count.0.get());
        caller.chat(model, &name).await;
        count.0.set(count.0.get() + 1);
    }
}

async fn keep_reading(load: &LoadState, worker: usize) {
    let count = load.register();
    let mut caller = FollowingCaller::new(&load.known, "service=mostrador", &load.reads);
    while load.goes_on.get() {
        let name = format!("read-{worker}-{}", count.0.get());
        caller.read(&name).await;
        count.0.set(count.0.get() + 1);
        actix_rt::time::sleep(std::time::Duration::from_millis(10)).await;
    }
}

async fn keep_ordering(load: &LoadState, worker: usize) {
    let count = load.register();
    let mut caller = FollowingCaller::new(&load.known, "service=mostrador", &load.orders);
    while load.goes_on.get() {
        let key = format!("order-{worker}-{}", count.0.get());
        caller.order(&key).await;
        count.0.set(count.0.get() + 1);
        actix_rt::time::sleep(std::time::Duration::from_millis(10)).await;
    }
}

/// Kills all hosts and targets of a failure domain.
fn kill_domain(deployment: &ProcessDeployment, domain: &str) {
    for (host, process) in deployment.addresses.iter().zip(&deployment.hosts) {
        if host.domain.as_str() == domain {
            process.signal("KILL").expect("signal is sent");
        }
    }
    for (spec, target) in deployment.catalog.targets.iter().zip(&deployment.targets) {
        if spec.domain.as_str() == domain {
            target.process.signal("KILL").expect("signal is sent");
        }
    }
}

/// Counts the calls that all targets began, those of killed ones included, by method or model and
/// path, key or prompt.
fn begun(deployment: &ProcessDeployment) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for line in deployment.targets.iter().flat_map(StandinProcess::lines) {
        let words: Vec<_> = line.split(' ').collect();
        let name = match words[..] {
            ["run", "GET", path, _] => path.to_owned(),
            ["run", "POST", _, key] => key.to_owned(),
            ["run", model, prompt] => format!("{model} {prompt}"),
            _ => panic!("unexpected line {line:?}"),
        };
        *counts.entry(name).or_insert(0) += 1;
    }
    counts
}

/// Checks what callers were told against what the targets began.
fn check_claims(deployment: &ProcessDeployment, load: &LoadState) {
    let counts = begun(deployment);
    let count = |name: &str| counts.get(name).copied().unwrap_or(0);
    for tally in [&load.chats, &load.reads] {
        for name in &tally.borrow().not_run {
            assert_eq!(count(name), 0, "{name} was reported as not run");
        }
        for name in &tally.borrow().served {
            assert!(count(name) >= 1, "{name} was served by no target");
        }
    }
    let orders = load.orders.borrow();
    for key in &orders.not_run {
        let runs = count(&format!("plazas@{key}"));
        assert_eq!(runs, 0, "{key} was reported as not run");
    }
    for key in &orders.served {
        assert_eq!(count(&format!("plazas@{key}")), 1, "{key}");
    }
    let keyed = counts.iter().filter(|(name, _)| name.contains('@'));
    for (key, runs) in keyed {
        assert_eq!(*runs, 1, "{key} ran more than once");
    }
    for (kind, tally) in [
        ("chats", &load.chats),
        ("reads", &load.reads),
        ("orders", &load.orders),
    ] {
        let tally = tally.borrow();
        println!(
            "{kind}: {} served, {} not run, {} unknown, {} lost",
            tally.served.len(),
            tally.not_run.len(),
            tally.unknown.len(),
            tally.lost.len()
        );
    }
}

/// Waits until all hosts that are left name one of them as the lease holder.
async fn until_held(deployment: &ProcessDeployment, left: &[usize]) {
    until("a lease holder that is left", || async {
        let found = holder(deployment, left[0]).await?;
        for asked in left {
            if holder(deployment, *asked).await? != found {
                return None;
            }
        }
        left.contains(&found).then_some(())
    })
    .await;
}

/// Guards M2, M4 and M5, and the lease, against the loss of the failure domain of the lease holder
/// under load: no call with a key may run twice, no call reported as not run may have run, every
/// other call must be served in the end, and every model must be served at each host that is left.
#[actix_web::test]
async fn lost_domain_costs_no_answer() {
    let builder = build_domains(ENGINE_BYTES, &RESIDENT).prints_runs();
    let deployment = builder.start().await.expect("deployment starts");
    let hosts = entries(&deployment);
    until_in_force(&hosts, 1, "ordinary").await;
    until_resident(&deployment, 0).await;
    let load = LoadState::new(hosts.clone());
    let models: Vec<_> = deployment
        .catalog
        .models
        .iter()
        .map(|model| model.name.to_string())
        .collect();
    let chats = models.iter().flat_map(|model| {
        let load = &load;
        (0..WORKERS).map(move |worker| keep_chatting(load, model, worker))
    });
    let reads = (0..WORKERS).map(|worker| keep_reading(&load, worker));
    let orders = (0..WORKERS).map(|worker| keep_ordering(&load, worker));
    let fault = async {
        load.wait_calls(1).await;
        until_settled(&deployment).await;
        let first = holder(&deployment, 0).await.expect("lease is held");
        let lost = deployment.addresses[first].domain.to_string();
        let before = domains_by_model(&deployment, |_| true).await;
        kill_domain(&deployment, &lost);
        let sole = before.values().filter(|domains| domains.iter().eq([&lost]));
        println!(
            "{lost} is lost, with the last copy of {} models: {before:?}",
            sole.count()
        );
        load.wait_calls(CALLS_AFTER).await;
        let left: Vec<_> = (0..HOSTS)
            .filter(|index| deployment.addresses[*index].domain.as_str() != lost)
            .collect();
        until_held(&deployment, &left).await;
        load.goes_on.set(false);
        (lost, left)
    };
    let (_, _, _, (lost, left)) =
        futures_util::join!(join_all(chats), join_all(reads), join_all(orders), fault);
    check_claims(&deployment, &load);
    let again = LoadState::new(left.iter().map(|index| hosts[*index]).collect());
    for host in &again.known {
        for model in &models {
            let known = [*host];
            let mut caller = FollowingCaller::new(&known, &format!("model={model}"), &again.chats);
            caller.chat(model, &format!("after-{}", host.port())).await;
        }
    }
    check_engines(&deployment, |spec| spec.domain.as_str() != lost).await;
}
