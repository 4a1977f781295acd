//! DRAIN: an entry of another writer, with fields missing, stands for a moment under the id of a
//! server; later the server reports that it is draining.

use crate::hosts::{standin_ip, start_hosts};
use crate::server::{Held, Server, Service};
use crate::store::Store;
use crate::traffic::{configuration, fronts, sleep_ms, Ask, Clients, Route};
use crate::{Setup, Verdict};
use std::time::Duration;

const DRAIN_MS: u64 = 2_000;

pub fn run(setup: &Setup) -> Verdict {
    let record = &setup.record;
    let service = Service {
        name: "asesor",
        slots: 48,
        weights_mb: 200_000,
        adapter_slots: 5,
        models: vec![("m1", 65_100, 12)],
        events: 20,
        gap_ms: 100,
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
    let held: Held = [("m1".to_owned(), Default::default())]
        .into_iter()
        .collect();
    let servers: Vec<Server> = (0..3)
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
    for number in 0..12 {
        let hosts = fronts(&hosts);
        sleep_ms(20);
        threads.push(
            clients.repeat(hosts, "chat", Duration::from_millis(100), move |round| {
                Ask {
                    method: "POST",
                    path: "/chat/1".to_owned(),
                    model: "m1".to_owned(),
                    prompt: format!("5c1e07a2:300,{number:x}{round:04x}:243"),
                    body: format!("question {number}-{round}"),
                    deadline_ms: 12_000,
                }
            }),
        );
    }
    sleep_ms(4_000);
    let leaving = &servers[0];
    if setup.trouble {
        leaving.wait_beat();
        let id = leaving.id();
        let (address, born) = (leaving.address, leaving.born());
        let text = format!(
            "{{\"service\":\"asesor\",\"address\":\"{address}\",\"zone\":\"zone-0\",\"slots\":48,\
             \"state\":\"ready\",\"models\":[{{\"name\":\"m1\",\"version\":1,\"adapters\":[]}}],\"born\":{born},\"seq_no\":900000}}"
        );
        let version = store.put("servers", &id, &text);
        record.add(&format!(
            "another writer: store row servers/{id} version {version}: {text}"
        ));
    }
    sleep_ms(4_000);
    leaving.drain();
    let acknowledged = record.times(" is draining").last().copied().unwrap_or(0);
    sleep_ms(8_000);
    leaving.leave();
    sleep_ms(2_000);
    clients.stop();
    for thread in threads {
        let _ = thread.join();
    }
    let id = leaving.id();
    let late = record.times(&format!(" at {id}: runs"));
    let late: Vec<u64> = late
        .into_iter()
        .filter(|at| *at > acknowledged + DRAIN_MS)
        .collect();
    let before = record.matching(&format!(" at {id}: runs")).len() - late.len();
    if before == 0 {
        return Verdict::NotRun("the server got no request before".to_owned());
    }
    let cut = record.matching(", cut after ").len();
    let last = late.last().map_or(0, |at| at - acknowledged);
    record.say(&format!(
        "requests that reached the server later than {DRAIN_MS} ms after its report: {}, the last after {last} ms; streams cut when it left: {cut}",
        late.len()
    ));
    if late.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken
    }
}
