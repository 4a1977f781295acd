//! The lease changes hands while answers of the store are lost: at most one host may give orders.

mod entry_support;

use crocusyard_platform_standin::prelude::*;
use entry_support::{route, stop, EntryHost, POLL_INTERVAL, SETTLE_LIMIT};
use std::time::{Duration, Instant};

const ROUTES: [TestRoute; 1] = [route("/flow/", RouteKind::Resumable, 2)];
/// Number of engines.
const ENGINES: usize = 2;
/// Time in which the hosts hear of each other.
const HEARTBEAT_TIME: Duration = Duration::from_secs(1);
/// Time in which the holder reads the rows of the hosts and states so in its row.
const HOLDER_READ_TIME: Duration = Duration::from_secs(5);
/// Time between the stop of the holder and the start of another host.
const START_DELAY: Duration = Duration::from_millis(100);
/// Time from the stop of the holder until the orders are compared. It covers the end of its process
/// and a take-over by a host that knows the holder only by its row.
const CHANGE_TIME: Duration = Duration::from_secs(12);

/// An order that reached an engine.
#[derive(Debug)]
struct SeenOrder {
    target: String,
    holder: String,
    fence: u64,
    at: Instant,
}

/// A store and engines that answer no order, so that the holder of the lease repeats its orders.
struct Deployment {
    store: StoreStandin,
    engines: Vec<TargetStandin>,
}

impl Deployment {
    async fn start() -> Self {
        let store = StoreStandin::start()
            .await
            .expect("the store stand-in cannot start");
        store.put_configuration(&with_engines(configuration(1, &ROUTES)));
        let mut engines = Vec::new();
        for number in 0..ENGINES {
            let engine = TargetStandin::start(&format!("i-{number}"))
                .await
                .expect("the target stand-in cannot start");
            store.put_target(&engine.name(), &engine.record("s"));
            engines.push(engine);
        }
        Self { store, engines }
    }

    /// Starts a host that reaches the store under an address of its own.
    async fn start_host(&self, name: &str) -> (EntryHost, StoreStandin) {
        let store = self.store.open_address().await.expect("no unused port");
        (EntryHost::start(name, store.address), store)
    }

    /// Starts `edge-1`, which gives orders, and then `edge-2`; they know each other.
    async fn start_holder_and_other(&self) -> [(EntryHost, StoreStandin); 2] {
        let holder = self.start_host("edge-1").await;
        self.wait_for_orders_of("edge-1").await;
        let other = self.start_host("edge-2").await;
        actix_rt::time::sleep(HEARTBEAT_TIME).await;
        [holder, other]
    }

    /// Starts a host whose own row is written without an answer.
    async fn add_unconfirmed_host(&self, name: &str) -> EntryHost {
        let store = self.store.open_address().await.expect("no unused port");
        store.set_fault(StoreFault::LosesWriteAnswers("hosts"));
        EntryHost::start(name, store.address)
    }

    /// Returns the orders at all engines, in the order of their arrival at each.
    fn orders(&self) -> Vec<SeenOrder> {
        let arrivals = self.engines.iter().flat_map(|engine| {
            let arrivals = engine.arrivals();
            let arrivals = arrivals.borrow();
            arrivals.clone()
        });
        arrivals
            .filter_map(|arrival| {
                let OrderFacts { holder, fence } = read_order(&arrival.body)?;
                Some(SeenOrder {
                    holder,
                    fence,
                    target: arrival.target,
                    at: arrival.at,
                })
            })
            .collect()
    }

    /// Waits until a host gives orders.
    async fn wait_for_orders_of(&self, holder: &str) {
        let start = Instant::now();
        while !self.orders().iter().any(|order| order.holder == holder) {
            assert!(
                start.elapsed() < SETTLE_LIMIT,
                "{holder} gives no orders; the lease row is {:?}",
                self.store.lease()
            );
            actix_rt::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Checks that fencing numbers never fall and that no former holder gives orders again.
    fn check_orders(&self) {
        let orders = self.orders();
        for engine in &self.engines {
            let name = engine.name();
            let orders = orders.iter().filter(|order| order.target == name);
            let orders: Vec<&SeenOrder> = orders.collect();
            for pair in orders.windows(2) {
                let [former, next] = pair else { continue };
                let gap = next.at.duration_since(former.at);
                assert!(
                    next.fence >= former.fence,
                    "{name}: {next:?} came {gap:?} after {former:?}"
                );
                assert!(
                    next.holder == former.holder || next.fence > former.fence,
                    "{name}: two holders with one fencing number: {former:?}, {next:?}"
                );
            }
        }
    }
}

/// Guards against orders of two hosts at a time: the store carries out the release of a stopping
/// holder without an answer, and a host that was added meanwhile, whose own row it does not confirm
/// either, takes the lease.
#[actix_rt::test]
async fn holder_gives_no_orders_after_a_release_without_an_answer() {
    let deployment = Deployment::start().await;
    let [(holder, holder_store), _other] = deployment.start_holder_and_other().await;
    holder_store.set_fault(StoreFault::LosesWriteAnswers("lease"));
    stop(&holder);
    actix_rt::time::sleep(START_DELAY).await;
    let _added = deployment.add_unconfirmed_host("edge-3").await;
    actix_rt::time::sleep(CHANGE_TIME).await;
    let orders = deployment.orders();
    assert!(
        orders.iter().any(|order| order.holder != "edge-1"),
        "no other host has taken the lease"
    );
    deployment.check_orders();
}

/// Guards against orders of two hosts at a time: a holder that has lost the store is confirmed by the
/// hosts that it knows, and a host that was added meanwhile, whose own row the store does not confirm,
/// takes the lease without telling them of itself.
#[actix_rt::test]
async fn host_without_a_confirmed_row_makes_itself_known_to_the_holder() {
    let deployment = Deployment::start().await;
    let [(_holder, holder_store), (_other, other_store)] =
        deployment.start_holder_and_other().await;
    holder_store.set_fault(StoreFault::Down);
    other_store.set_fault(StoreFault::Down);
    let _added = deployment.add_unconfirmed_host("edge-3").await;
    actix_rt::time::sleep(CHANGE_TIME).await;
    let before = deployment.orders().len();
    actix_rt::time::sleep(HEARTBEAT_TIME).await;
    let orders = deployment.orders();
    assert!(orders.len() > before, "no host gives orders");
    deployment.check_orders();
}

/// Guards against a long time without a holder after the end of all processes: a host whose write of
/// its own row gets no answer must see in the store that the row is there, and that the former holder
/// knew it.
#[actix_rt::test]
async fn killed_host_is_known_though_its_row_is_not_confirmed() {
    let deployment = Deployment::start().await;
    let [holder, other] = deployment.start_holder_and_other().await;
    actix_rt::time::sleep(HOLDER_READ_TIME).await;
    drop([holder, other]);
    let _restarted = deployment.add_unconfirmed_host("edge-2").await;
    deployment.wait_for_orders_of("edge-2").await;
    deployment.check_orders();
}
