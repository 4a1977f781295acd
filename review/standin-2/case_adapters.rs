//! LIMIT: rare adapters are asked for at once, and a server is ordered to load more than its memory
//! holds.

use crate::hosts::{standin_ip, start_hosts};
use crate::server::{Held, Server, Service};
use crate::store::Store;
use crate::traffic::{configuration, fronts, sleep_ms, Ask, Clients, Route};
use crate::{Setup, Verdict};
use std::time::Duration;

const WEIGHTS_MB: u64 = 65_100;
const ADAPTER_MB: u64 = 1_300;

fn ask(model: String) -> Ask {
    Ask {
        method: "POST",
        path: "/chat/1".to_owned(),
        model,
        prompt: "5c1e07a2:300,e4402b7d:243".to_owned(),
        body: "a question".to_owned(),
        deadline_ms: 8_000,
    }
}

pub fn run(setup: &Setup) -> Verdict {
    let record = &setup.record;
    let models = ["m1", "m2", "m3"];
    let service = Service {
        name: "asesor",
        slots: 48,
        weights_mb: 200_000,
        adapter_slots: 5,
        models: models.map(|model| (model, WEIGHTS_MB, ADAPTER_MB)).to_vec(),
        events: 20,
        gap_ms: 50,
        work_ms: 0,
        is_dark: false,
    };
    let store = Store::start(&standin_ip());
    let route = Route {
        prefix: "/chat/",
        kind: "streaming",
        timeout_ms: 12_000,
        target_ms: 300,
        attempts: 1,
    };
    store.put("op", "config", &configuration(7, &[route], &service));
    // The models were placed at startup, as far as there is room.
    let held: Held = models
        .iter()
        .map(|model| ((*model).to_owned(), Default::default()))
        .collect();
    let servers: Vec<Server> = (0..2)
        .map(|number| {
            Server::start(
                number,
                &standin_ip(),
                &service,
                held.clone(),
                &store,
                record,
            )
        })
        .collect();
    let hosts = start_hosts(3, store.address, &setup.folder);
    if !hosts.iter().all(|host| host.wait_ready(record)) {
        return Verdict::NotRun("a host is not ready".to_owned());
    }
    let clients = Clients::new(record);
    let mut threads = Vec::new();
    for number in 0..6 {
        let hosts = fronts(&hosts);
        let model = models[number % 3].to_owned();
        threads.push(
            clients.repeat(hosts, "base", Duration::from_millis(100), move |_| {
                ask(model.clone())
            }),
        );
    }
    // Usual demand: two adapters for each server.
    for number in 1..=4 {
        let model = format!("m1/a{number}");
        threads.push(clients.repeat(
            fronts(&hosts),
            "usual",
            Duration::from_millis(100),
            move |_| ask(model.clone()),
        ));
    }
    sleep_ms(10_000);
    let burst = Clients::new(record);
    if setup.trouble {
        record.add("rare adapters are asked for at once");
        for number in 5..=10 {
            let model = format!("m1/a{number}");
            threads.push(burst.repeat(
                fronts(&hosts),
                "rare",
                Duration::from_millis(100),
                move |_| ask(model.clone()),
            ));
        }
    }
    sleep_ms(3_000);
    burst.stop();
    sleep_ms(5_000);
    clients.stop();
    for thread in threads {
        let _ = thread.join();
    }
    drop(servers);
    let excess = record.matching(" LIMIT ");
    let cut = record.matching(", cut after ").len();
    let lost: usize = record.matching(" crashes with ").iter().map(|_| 1).sum();
    let complete = record
        .matching("answer usual-")
        .iter()
        .filter(|line| line.ends_with(" 200"))
        .count();
    if complete == 0 {
        return Verdict::NotRun("no request for an adapter was answered".to_owned());
    }
    record.say(&format!(
        "orders beyond what the server holds: {}; server crashes: {lost}; streams cut: {cut}",
        excess.len()
    ));
    for line in excess.iter().take(5) {
        record.say(&format!("  {line}"));
    }
    if excess.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken
    }
}
