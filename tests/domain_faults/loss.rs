//! Loss of a whole failure domain under chats, reads and calls with keys.

use crate::callers::{CallOutcomes, ResolvingCaller};
use crate::support::*;
use crate::*;
use futures_util::future::join_all;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;

/// Accelerator memory of an engine, bytes; the engines of two domains can hold every model.
const ENGINE_BYTES: u64 = 20_000_000_000;
/// Models that are resident at the start; each domain has the only copy of some model.
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
/// Number of callers of each model, of reads of the plain service, and of calls with keys to it.
const WORKERS: usize = 3;
/// Number of calls that each caller must complete after the loss.
const CALLS_AFTER: usize = 5;

/// Number of calls that one caller has completed.
#[derive(Clone, Default)]
struct CallCounter(Rc<Cell<usize>>);

/// State shared by all callers of the test.
struct LoadState {
    known_hosts: Vec<SocketAddr>,
    is_running: Cell<bool>,
    counts: RefCell<Vec<CallCounter>>,
    chats: RefCell<CallOutcomes>,
    reads: RefCell<CallOutcomes>,
    orders: RefCell<CallOutcomes>,
}

impl LoadState {
    fn new(known_hosts: Vec<SocketAddr>) -> Self {
        Self {
            known_hosts,
            is_running: Cell::new(true),
            counts: RefCell::default(),
            chats: RefCell::default(),
            reads: RefCell::default(),
            orders: RefCell::default(),
        }
    }

    /// Adds the counter of a new caller.
    fn register_caller(&self) -> CallCounter {
        let count = CallCounter::default();
        self.counts.borrow_mut().push(count.clone());
        count
    }

    /// Waits until every caller has completed `calls` further calls.
    async fn wait_calls(&self, calls: usize) {
        let counts = self.counts.borrow().clone();
        let minimums: Vec<_> = counts.iter().map(|count| count.0.get() + calls).collect();
        wait_until("every caller has completed further calls", || async {
            let mut pairs = counts.iter().zip(&minimums);
            pairs
                .all(|(count, minimum)| count.0.get() >= *minimum)
                .then_some(())
        })
        .await;
    }
}

async fn send_chats(load: &LoadState, model: &str, worker: usize) {
    let count = load.register_caller();
    let mut caller =
        ResolvingCaller::new(&load.known_hosts, &format!("model={model}"), &load.chats);
    while load.is_running.get() {
        let name = format!("chat-{worker}-{}", count.0.get());
        caller.chat_until_served(model, &name).await;
        count.0.set(count.0.get() + 1);
    }
}

async fn send_reads(load: &LoadState, worker: usize) {
    let count = load.register_caller();
    let mut caller = ResolvingCaller::new(&load.known_hosts, "service=mostrador", &load.reads);
    while load.is_running.get() {
        let name = format!("read-{worker}-{}", count.0.get());
        caller.read_until_served(&name).await;
        count.0.set(count.0.get() + 1);
        actix_rt::time::sleep(std::time::Duration::from_millis(10)).await;
    }
}

async fn send_orders(load: &LoadState, worker: usize) {
    let count = load.register_caller();
    let mut caller = ResolvingCaller::new(&load.known_hosts, "service=mostrador", &load.orders);
    while load.is_running.get() {
        let key = format!("order-{worker}-{}", count.0.get());
        caller.order_until_settled(&key).await;
        count.0.set(count.0.get() + 1);
        actix_rt::time::sleep(std::time::Duration::from_millis(10)).await;
    }
}

/// Kills all hosts and targets of a failure domain.
fn kill_domain(deployment: &ProcessDeployment, domain: &str) {
    for (host, process) in deployment.addresses.iter().zip(&deployment.hosts) {
        if host.domain.as_str() == domain {
            process.signal("KILL").expect("the signal cannot be sent");
        }
    }
    for (spec, target) in deployment.catalog.targets.iter().zip(&deployment.targets) {
        if spec.domain.as_str() == domain {
            target
                .process
                .signal("KILL")
                .expect("the signal cannot be sent");
        }
    }
}

/// Counts the calls that the targets started, including killed targets.
///
/// A call is named by its path (reads), by `tenant@key` (calls with keys), or by model and prompt.
fn count_started_calls(deployment: &ProcessDeployment) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for line in deployment.targets.iter().flat_map(StandinProcess::lines) {
        let words: Vec<_> = line.split(' ').collect();
        let name = match words[..] {
            ["run", "GET", path, _] => path.to_owned(),
            ["run", "POST", _, key] => key.to_owned(),
            ["run", model, prompt] => format!("{model} {prompt}"),
            _ => panic!("unexpected line in the output of a target: {line:?}"),
        };
        *counts.entry(name).or_insert(0) += 1;
    }
    counts
}

/// Checks the outcomes reported to callers against the calls that the targets started.
fn check_outcomes(deployment: &ProcessDeployment, load: &LoadState) {
    let counts = count_started_calls(deployment);
    let count = |name: &str| counts.get(name).copied().unwrap_or(0);
    for outcomes in [&load.chats, &load.reads] {
        for name in &outcomes.borrow().not_run {
            assert_eq!(
                count(name),
                0,
                "{name} was reported as not run, but a target started it"
            );
        }
        for name in &outcomes.borrow().served {
            assert!(
                count(name) >= 1,
                "{name} was served, but no target started it"
            );
        }
    }
    let orders = load.orders.borrow();
    for key in &orders.not_run {
        let runs = count(&format!("plazas@{key}"));
        assert_eq!(
            runs, 0,
            "{key} was reported as not run, but a target started it"
        );
    }
    for key in &orders.served {
        assert_eq!(
            count(&format!("plazas@{key}")),
            1,
            "{key} was served, so it must have run once"
        );
    }
    let keyed = counts.iter().filter(|(name, _)| name.contains('@'));
    for (key, runs) in keyed {
        assert_eq!(*runs, 1, "{key} ran more than once");
    }
    for (kind, outcomes) in [
        ("chats", &load.chats),
        ("reads", &load.reads),
        ("orders", &load.orders),
    ] {
        let outcomes = outcomes.borrow();
        println!(
            "{kind}: {} served, {} not run, {} unknown, {} lost",
            outcomes.served.len(),
            outcomes.not_run.len(),
            outcomes.unknown.len(),
            outcomes.lost.len()
        );
    }
}

/// Waits until all remaining hosts report the same one of them as the lease holder.
async fn wait_lease_held(deployment: &ProcessDeployment, remaining: &[usize]) {
    wait_until(
        "the remaining hosts report one of them as the lease holder",
        || async {
            let found = lease_holder(deployment, remaining[0]).await?;
            for host_index in remaining {
                if lease_holder(deployment, *host_index).await? != found {
                    return None;
                }
            }
            remaining.contains(&found).then_some(())
        },
    )
    .await;
}

/// Guards against wrong outcomes and unreachable models after the loss of a failure domain.
///
/// All hosts and targets of the lease holder's domain are killed under load. No call with a key may
/// run twice, no call reported as not run may have run, every other call must be served in the end,
/// and every model must be served at each remaining host.
#[actix_web::test]
async fn calls_complete_after_the_loss_of_a_domain() {
    let builder = build_domains(ENGINE_BYTES, &RESIDENT).prints_runs();
    let deployment = builder.start().await.expect("the deployment cannot start");
    let hosts = caller_addresses(&deployment);
    wait_in_force(&hosts, 1, "ordinary").await;
    wait_all_resident(&deployment, 0).await;
    let load = LoadState::new(hosts.clone());
    let models: Vec<_> = deployment
        .catalog
        .models
        .iter()
        .map(|model| model.name.to_string())
        .collect();
    let chats = models.iter().flat_map(|model| {
        let load = &load;
        (0..WORKERS).map(move |worker| send_chats(load, model, worker))
    });
    let reads = (0..WORKERS).map(|worker| send_reads(&load, worker));
    let orders = (0..WORKERS).map(|worker| send_orders(&load, worker));
    let inject_fault = async {
        load.wait_calls(1).await;
        wait_moves_ended(&deployment).await;
        let first = lease_holder(&deployment, 0)
            .await
            .expect("no host holds the lease");
        let lost_domain = deployment.addresses[first].domain.to_string();
        let before = domains_by_model(&deployment, |_| true).await;
        kill_domain(&deployment, &lost_domain);
        let lost_models = before
            .values()
            .filter(|domains| domains.iter().eq([&lost_domain]));
        println!(
            "{lost_domain} is lost, with the last copy of {} models: {before:?}",
            lost_models.count()
        );
        load.wait_calls(CALLS_AFTER).await;
        let remaining: Vec<_> = (0..HOSTS)
            .filter(|index| deployment.addresses[*index].domain.as_str() != lost_domain)
            .collect();
        wait_lease_held(&deployment, &remaining).await;
        load.is_running.set(false);
        (lost_domain, remaining)
    };
    let (_, _, _, (lost_domain, remaining)) = futures_util::join!(
        join_all(chats),
        join_all(reads),
        join_all(orders),
        inject_fault
    );
    check_outcomes(&deployment, &load);
    let after_loss = LoadState::new(remaining.iter().map(|index| hosts[*index]).collect());
    for host in &after_loss.known_hosts {
        for model in &models {
            let known = [*host];
            let mut caller =
                ResolvingCaller::new(&known, &format!("model={model}"), &after_loss.chats);
            caller
                .chat_until_served(model, &format!("after-{}", host.port()))
                .await;
        }
    }
    check_engine_memory_of(&deployment, |spec| spec.domain.as_str() != lost_domain).await;
}
