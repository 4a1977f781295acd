//! Runs three entry hosts with stand-in targets and a stand-in platform in one process, prints one
//! streamed request, and stays up.
//!
//! The stand-ins answer with made-up words. Everything listens on loopback addresses only.

use crocusyard_border::platform::{HostListing, ListedHost};
use crocusyard_catalog::prelude::*;
use crocusyard_host::prelude::*;
use crocusyard_settings::prelude::*;
use crocusyard_standins::prelude::*;
use futures_util::StreamExt;
use std::error::Error;
use std::net::{SocketAddr, TcpListener, UdpSocket};

const DOMAINS: [&str; 3] = ["plaza-mayor", "san-lesmes", "gamonal"];
const CATALOG: &str = include_str!("catalog.yaml");
const LOOPBACK: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

#[actix_web::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let hosts: Vec<ListedHost> = DOMAINS.iter().map(|domain| listed_host(domain)).collect();
    let platform = start_platform(PlatformOptions {
        listen: LOOPBACK,
        listing: HostListing {
            hosts: hosts.clone(),
            targets: Vec::new(),
        },
        loads_at_once: 15,
    })?;
    let catalog = start_targets(CatalogSpec::from_yaml(CATALOG)?)?;
    let keys = HostKeys {
        operator: SecretText::new("quickstart-operator-key"),
        gossip: SecretText::new("quickstart-gossip-key-0"),
    };
    let mut running = Vec::new();
    for host in &hosts {
        let settings = host_settings(host, platform.address)?;
        running.push(start_host(settings, &keys, catalog.clone())?);
    }
    // The hosts poll the targets once before the first request.
    actix_rt::time::sleep(std::time::Duration::from_millis(700)).await;
    let entry = ask_address(running[0].address).await?;
    println!("entry host for chalk-small: {entry}");
    print_stream(&entry).await?;
    print_commands(&entry);
    std::future::pending::<()>().await;
    Ok(())
}

/// Reserves free ports by binding to them for a moment.
fn listed_host(domain: &str) -> ListedHost {
    let callers = TcpListener::bind(LOOPBACK).and_then(|socket| socket.local_addr());
    let gossip = UdpSocket::bind(LOOPBACK).and_then(|socket| socket.local_addr());
    ListedHost {
        name: format!("entry-{domain}"),
        domain: domain.to_owned(),
        caller_address: callers.ok().map(|address| address.to_string()),
        gossip_address: gossip.ok().map(|address| address.to_string()),
        leaving: false,
    }
}

/// Starts a stand-in for every declared target and sets its real address.
fn start_targets(mut catalog: CatalogSpec) -> std::io::Result<CatalogSpec> {
    let resident = vec![("chalk-small".to_owned(), 4_000_000_000)];
    for target in &mut catalog.targets {
        let server = match target.kind {
            TargetKind::Engine => start_engine(EngineOptions {
                memory_bytes: target.memory_bytes,
                resident: resident.clone(),
                token_ms: 20,
                ..EngineOptions::default()
            })?,
            TargetKind::Plain => start_plain(PlainOptions {
                listen: LOOPBACK,
                service_ms: 2,
            })?,
        };
        target.address = server.address;
    }
    Ok(catalog)
}

fn host_settings(host: &ListedHost, platform: SocketAddr) -> Result<HostSettings, Box<dyn Error>> {
    let callers = host.caller_address.as_deref().ok_or("no free TCP port")?;
    let gossip = host.gossip_address.as_deref().ok_or("no free UDP port")?;
    let yaml = format!(
        "name: {}\ndomain: {}\nregion: castilla-norte\n\
         listen: {{ callers: \"{callers}\", advertised_callers: \"{callers}\", \
         gossip: \"{gossip}\", advertised_gossip: \"{gossip}\" }}\n\
         platform: {{ table: \"{platform}\", objects: \"{platform}\", hosts: \"{platform}\" }}\n\
         requests: {{ tenant_from: header }}\n",
        host.name, host.domain
    );
    Ok(HostSettings::from_yaml(&yaml)?)
}

async fn ask_address(host: SocketAddr) -> Result<String, Box<dyn Error>> {
    let url = format!("http://{host}/v1/addresses?model=chalk-small");
    let answer: serde_json::Value = awc::Client::default()
        .get(url)
        .send()
        .await
        .map_err(|error| error.to_string())?
        .json()
        .await?;
    let address = answer["addresses"][0]["address"]
        .as_str()
        .ok_or("no address")?;
    Ok(address.to_owned())
}

async fn print_stream(entry: &str) -> Result<(), Box<dyn Error>> {
    let body = serde_json::json!({
        "model": "chalk-small",
        "stream": true,
        "max_tokens": 12,
        "messages": [{"role": "user", "content": "Which chalk keeps in the rain?"}],
    });
    let mut response = awc::Client::default()
        .post(format!("http://{entry}/v1/chat/completions"))
        .insert_header(("x-tenant", "plazas"))
        .send_json(&body)
        .await
        .map_err(|error| error.to_string())?;
    println!("status {}", response.status());
    while let Some(part) = response.next().await {
        print!("{}", String::from_utf8_lossy(&part?));
    }
    Ok(())
}

fn print_commands(entry: &str) {
    println!("The deployment stays up until you press Ctrl-C. In another terminal:\n");
    println!(
        "curl -N http://{entry}/v1/chat/completions -H 'X-Tenant: plazas' \
         -H 'Content-Type: application/json' -d '{{\"model\": \"chalk-small\", \"stream\": true, \
         \"messages\": [{{\"role\": \"user\", \"content\": \"Hello\"}}]}}'"
    );
    println!("curl 'http://{entry}/v1/addresses?model=chalk-small'");
    println!("curl http://{entry}/metrics");
}
