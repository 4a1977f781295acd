//! Two hosts give orders at the same time: the holder of the lease is stopped and a machine is added
//! while answers of the store to writes are lost.

#[path = "clients.rs"]
mod clients;
#[path = "hosts.rs"]
mod hosts;
#[path = "http.rs"]
mod http;
#[path = "json.rs"]
mod json;
#[path = "record.rs"]
mod record;
#[path = "server.rs"]
mod server;
#[path = "store.rs"]
mod store;

use clients::Kind;
use hosts::{Host, Ports};
use server::{Order, Seen, Server};
use std::path::Path;
use std::process::exit;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread::sleep;
use std::time::Duration;
use store::{Fate, Store};

const LEASE_TIME: Duration = Duration::from_millis(3_000);
/// Length of the disruption of the store.
const LOST_TIME: Duration = Duration::from_millis(4_500);
const ADAPTERS: usize = 24;

fn configuration() -> String {
    "{\"version\":7,\"routes\":[{\"name\":\"advice\",\"host\":\"desk.example\",\"path_prefix\":\"/advice/\",\
     \"kind\":\"streaming\",\"resumable\":true,\"gap_aim_ms\":150,\"timeout_ms\":4000,\
     \"target_latency_ms\":300,\"priority\":0,\"service\":\"engines\",\"max_attempts\":2,\"sticky\":true}],\
     \"services\":[{\"name\":\"engines\",\"health_path\":\"/health\",\"max_conns\":210,\"engine\":{\"slots\":24,\
     \"kv_capacity\":83235,\"weights_mb\":230000,\"adapter_slots\":3,\"loads_per_s\":2.4,\"models\":[{\
     \"name\":\"m0\",\"weights_mb\":65100,\"load_s\":5.8,\"adapters\":24,\"adapter_mb\":12}]}}],\
     \"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":65536,\"header_timeout_ms\":3000,\
     \"idle_timeout_ms\":15000}}"
        .to_owned()
}

fn main() {
    let folder = std::env::args()
        .nth(1)
        .expect("the folder of the case is missing");
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    record::start(&format!("{folder}/record.txt"));
    let scratch = std::env::temp_dir().join(format!("case-11-{}", std::process::id()));
    std::fs::create_dir_all(&scratch).expect("no temporary folder");
    let code = play(&scratch, trouble);
    let _ = std::fs::remove_dir_all(&scratch);
    exit(code);
}

fn play(scratch: &Path, trouble: bool) -> i32 {
    let store = Store::start(Duration::from_millis(4));
    store.put("op", "config", Some(configuration().as_bytes()));
    let seen = Arc::new(Seen::default());
    let work = Duration::from_millis(20);
    for (number, zone) in hosts::ZONES.iter().enumerate() {
        let id = format!("i-engine{number}");
        Server::start(&id, "engines", zone, &["m0"], work, 800, &store, &seen);
    }
    let ports = Ports::find(4);
    let mut hosts: Vec<Host> = (0..4)
        .map(|n| Host::new(n, ports, store.address, scratch))
        .collect();
    let mut added = hosts.pop().expect("a fourth host");
    hosts.iter_mut().for_each(Host::start);
    if !hosts.iter().all(Host::wait_ready) {
        return 2;
    }
    let stop = Arc::new(AtomicBool::new(false));
    let kinds: Vec<Kind> = (1..=ADAPTERS)
        .map(|n| Kind {
            path: "/advice/x",
            model: Some(format!("m0/a{n}")),
            deadline_ms: 4_000,
        })
        .collect();
    let directories = hosts.iter().map(|host| host.directory).collect();
    clients::keep_sending(
        directories,
        kinds.clone(),
        Duration::from_millis(40),
        stop.clone(),
    );
    sleep(Duration::from_secs(8));
    let Some(holder) = seen
        .orders
        .lock()
        .unwrap()
        .last()
        .map(|order| order.holder.clone())
    else {
        record::line("no order was given");
        return 2;
    };
    let place = hosts
        .iter()
        .position(|host| host.name == holder)
        .expect("an unknown holder");

    // Planned work: the holder is stopped, and a machine is added.
    let (before, begin) = (store.writes(), record::now());
    let lost = Arc::new(AtomicU64::new(0));
    if trouble {
        let (holder, added) = (format!("\"holder\":\"{holder}\""), added.name.clone());
        let lost = lost.clone();
        store.set_rule(move |write| {
            let releases = write.table == "lease"
                && write.value.contains("\"released\":true")
                && write.value.contains(&holder);
            let is_row = write.table == "hosts" && write.key == added;
            if record::now() - begin > LOST_TIME || !(releases || is_row) {
                return Fate::Answered;
            }
            lost.fetch_add(1, Ordering::Relaxed);
            Fate::NotAnswered
        });
    }
    hosts[place].signal("TERM");
    sleep(Duration::from_millis(100));
    added.start();
    if !added.wait_ready() {
        return 2;
    }
    // Clients of its zone, which ask the nearest host for addresses.
    clients::keep_sending(
        vec![added.directory],
        kinds,
        Duration::from_millis(100),
        stop.clone(),
    );
    while record::now() - begin < LOST_TIME {
        sleep(Duration::from_millis(10));
    }
    record::line(&format!(
        "within {} ms, {} of {} writes to the store were done and not answered",
        LOST_TIME.as_millis(),
        lost.load(Ordering::Relaxed),
        store.writes() - before
    ));
    let stopped = hosts[place].wait_end(Duration::from_secs(9));
    hosts[place].start();
    hosts.push(added);
    sleep(Duration::from_secs(6));
    stop.store(true, Ordering::Relaxed);
    for host in &mut hosts {
        if let Some(status) = host.ended() {
            record::line(&format!("{} has ended by itself: {status}", host.name));
        }
    }
    if !stopped {
        record::line("the holder did not end within grace_s");
    }
    let orders = seen.orders.lock().unwrap().clone();
    judge(&orders)
}

/// ONE, at each server: a lower fencing token after a higher one, or holders that take turns within
/// `lease_ms`: an order of one, an order of another and again one of the first.
fn judge(orders: &[Order]) -> i32 {
    let mut servers: Vec<&str> = orders.iter().map(|order| order.server.as_str()).collect();
    servers.sort_unstable();
    servers.dedup();
    let (mut lower, mut turns) = (0, 0);
    for server in servers {
        let at_server: Vec<&Order> = orders
            .iter()
            .filter(|order| order.server == server)
            .collect();
        let (mut highest, mut last_change) = (0, None::<Duration>);
        for (number, order) in at_server.iter().enumerate() {
            lower += u32::from(order.fence < highest);
            highest = highest.max(order.fence);
            let Some(former) = number.checked_sub(1).map(|number| at_server[number]) else {
                continue;
            };
            if former.holder == order.holder {
                continue;
            }
            record::line(&format!(
                "{server}: the last order of {} (fence {}) came at {:.3} s, the next one is from {} (fence {}) at {:.3} s",
                former.holder, former.fence, former.at.as_secs_f64(), order.holder, order.fence, order.at.as_secs_f64()
            ));
            turns += u32::from(last_change.is_some_and(|at| order.at - at < LEASE_TIME));
            last_change = Some(former.at);
        }
    }
    let broken = lower > 0 || turns > 0;
    record::line(&format!(
        "{} orders, {lower} with a lower fencing token after a higher one, {turns} turns within lease_ms; rule ONE is {}",
        orders.len(), if broken { "broken" } else { "kept" }
    ));
    i32::from(broken)
}
