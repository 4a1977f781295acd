//! A server that has left goes on getting requests: after the removal of its entry, another writer
//! writes an entry that cannot be read under the same id.

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
use server::{Seen, Server};
use std::path::Path;
use std::process::exit;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::sleep;
use std::time::Duration;
use store::Store;

const DRAIN_TIME: Duration = Duration::from_millis(2_000);
/// Time for which the server goes on serving after its entry was removed; then it ends.
const SERVING_TIME: Duration = Duration::from_millis(6_000);

fn configuration() -> String {
    "{\"version\":7,\"routes\":[{\"name\":\"booking\",\"host\":\"desk.example\",\"path_prefix\":\"/booking/\",\
     \"kind\":\"non_idempotent\",\"timeout_ms\":2500,\"target_latency_ms\":150,\"priority\":0,\
     \"service\":\"desk\",\"max_attempts\":1}],\
     \"services\":[{\"name\":\"desk\",\"health_path\":\"/health\",\"max_conns\":110}],\
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
    let scratch = std::env::temp_dir().join(format!("case-12-{}", std::process::id()));
    std::fs::create_dir_all(&scratch).expect("no temporary folder");
    let code = play(&scratch, trouble);
    let _ = std::fs::remove_dir_all(&scratch);
    exit(code);
}

fn play(scratch: &Path, trouble: bool) -> i32 {
    let store = Store::start(Duration::from_millis(4));
    store.put("op", "config", Some(configuration().as_bytes()));
    let seen = Arc::new(Seen::default());
    let work = Duration::from_millis(150);
    let servers: Vec<Arc<Server>> = hosts::ZONES
        .iter()
        .enumerate()
        .map(|(number, zone)| {
            Server::start(
                &format!("i-desk{number}"),
                "desk",
                zone,
                &[],
                work,
                800,
                &store,
                &seen,
            )
        })
        .collect();
    let ports = Ports::find(3);
    let mut hosts: Vec<Host> = (0..3)
        .map(|n| Host::new(n, ports, store.address, scratch))
        .collect();
    hosts.iter_mut().for_each(Host::start);
    if !hosts.iter().all(Host::wait_ready) {
        return 2;
    }
    let stop = Arc::new(AtomicBool::new(false));
    let kinds = vec![Kind {
        path: "/booking/x",
        model: None,
        deadline_ms: 2_500,
    }];
    let directories = hosts.iter().map(|host| host.directory).collect();
    clients::keep_sending(directories, kinds, Duration::from_millis(20), stop.clone());
    sleep(Duration::from_secs(5));

    let leaving = &servers[1];
    leaving.stop_registering();
    store.put("servers", &leaving.id, None);
    let removed_at = record::now();
    record::line(&format!(
        "the entry of {} is removed; it serves for some seconds more",
        leaving.id
    ));
    if trouble {
        sleep(Duration::from_millis(100));
        let entry = "{\"service\":\"desk\",\"state\":\"retired\"}";
        store.put("servers", &leaving.id, Some(entry.as_bytes()));
        record::line(&format!(
            "another writer writes the entry {}: {entry}",
            leaving.id
        ));
    }
    sleep(SERVING_TIME);
    let cut_off = leaving.end();
    sleep(Duration::from_secs(1));
    stop.store(true, Ordering::Relaxed);
    for host in &mut hosts {
        if let Some(status) = host.ended() {
            record::line(&format!("{} has ended by itself: {status}", host.name));
            return 2;
        }
    }
    record::line(&format!(
        "{cut_off} accepted requests were lost with the server"
    ));
    // DRAIN: requests that reach a server later than `drain_ms` after it was acknowledged as gone,
    // taken from the client later than that, too.
    let runs = seen.runs.lock().unwrap().clone();
    let at_server = runs.iter().filter(|run| run.server == leaving.id);
    let late: Vec<_> = at_server
        .filter(|run| run.at > removed_at + DRAIN_TIME + Duration::from_millis(100))
        .collect();
    if let Some(last) = late.last() {
        let age = last.at - removed_at;
        record::line(&format!("{} of {} requests ran at {} later than drain_ms after its removal, the last one {} ms after it",
            late.len(), runs.len(), leaving.id, age.as_millis()));
    }
    record::line(&format!(
        "rule DRAIN is {}",
        if late.is_empty() { "kept" } else { "broken" }
    ));
    i32::from(!late.is_empty())
}
