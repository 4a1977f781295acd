//! Runs three entry hosts with stand-in targets and a stand-in platform in one process, prints the
//! answer to one streamed request, and serves until it is stopped.
//!
//! The stand-ins answer with made-up words. All servers listen on loopback addresses only.

use crocusyard_standins::prelude::EngineOptions;
use crocusyard_testbed::prelude::*;
use crocusyard_testbed::sample::OPERATOR_KEY;
use futures_util::StreamExt;
use std::error::Error;
use std::net::SocketAddr;

#[actix_web::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let engine = EngineOptions {
        resident: vec![("chalk-small".to_owned(), 4_000_000_000)],
        token_ms: 20,
        ..EngineOptions::default()
    };
    let deployment = LocalBuilder::default().engine(engine).start().await?;
    let entry = query_address(deployment.entry(0)).await?;
    println!("entry host for chalk-small: {entry}");
    print_stream(&entry).await?;
    print_commands(&entry);
    std::future::pending::<()>().await;
    Ok(())
}

/// Asks a host for the address of an entry host that serves the model `chalk-small`.
async fn query_address(host: SocketAddr) -> Result<String, Box<dyn Error>> {
    let url = format!("http://{host}/v1/addresses?model=chalk-small");
    let mut response = awc::Client::default()
        .get(url)
        .send()
        .await
        .map_err(|error| error.to_string())?;
    let answer: serde_json::Value = response.json().await?;
    let address = answer["addresses"][0]["address"]
        .as_str()
        .ok_or("the address answer names no host")?;
    Ok(address.to_owned())
}

/// Sends a streamed chat request and prints the answer as it arrives.
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

/// Prints commands to try against the running deployment.
fn print_commands(entry: &str) {
    println!("The deployment stays up until you press Ctrl-C. In another terminal:\n");
    println!(
        "curl -N http://{entry}/v1/chat/completions -H 'X-Tenant: plazas' \
         -H 'Content-Type: application/json' -d '{{\"model\": \"chalk-small\", \"stream\": true, \
         \"messages\": [{{\"role\": \"user\", \"content\": \"Hello\"}}]}}'"
    );
    println!("curl 'http://{entry}/v1/addresses?model=chalk-small'");
    println!("curl http://{entry}/metrics");
    println!("CROCUSYARD_OPERATOR_KEY={OPERATOR_KEY} cargo run -- --host {entry} status");
}
