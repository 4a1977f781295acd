//! Measures the bytes of one load read, in full and with the residency tag of a known report.
//!
//! The reads pass through a forwarder that counts what it carries. TCP and IP headers are not
//! counted. `cargo run --release -p crocusyard_load --example read_bytes`

use crocusyard_standins::prelude::*;
use crocusyard_targets::management::{read_load, read_load_since};
use crocusyard_targets::pool::new_client;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Reads per measurement.
const READS: u64 = 100;
/// Time limit of one read.
const TIMEOUT: Duration = Duration::from_secs(5);
/// Numbers of models and adapters on the engine in each measurement.
const SIZES: [(usize, usize); 3] = [(1, 0), (3, 10), (5, 40)];

/// Connections and bytes that the forwarder carried.
#[derive(Default)]
struct ByteCounts {
    connections: Cell<u64>,
    sent: Cell<u64>,
    received: Cell<u64>,
    /// Text of the first request and the first answer.
    samples: RefCell<Vec<String>>,
}

#[actix_rt::main]
async fn main() -> std::io::Result<()> {
    for (models, adapters) in SIZES {
        let engine = start_engine(engine_options(models, adapters))?;
        let client = new_client(TIMEOUT);
        let status = read_load(&client, engine.address, TIMEOUT).await;
        let tag = status.map_err(std::io::Error::other)?.residency;
        for (name, known) in [("whole", None), ("known", tag.as_deref())] {
            let counts = Rc::new(ByteCounts::default());
            let address = forward_to(engine.address, counts.clone()).await?;
            for _ in 0..READS {
                read_load_since(&client, address, known, TIMEOUT)
                    .await
                    .map_err(std::io::Error::other)?;
            }
            println!(
                "{models} models, {adapters} adapters, {name}: {} B sent and {} B received a \
                 read, {} connections for {READS} reads",
                counts.sent.get() / READS,
                counts.received.get() / READS,
                counts.connections.get()
            );
            if (models, adapters) == SIZES[0] {
                for sample in counts.samples.borrow().iter() {
                    println!("{sample}");
                }
            }
        }
        engine.kill().await;
    }
    Ok(())
}

fn engine_options(models: usize, adapters: usize) -> EngineOptions {
    let models = (0..models).map(|index| (format!("model-{index:04}"), 4_000_000_000));
    let adapters = (0..adapters).map(|index| (format!("adapter-{index:04}"), 40_000_000));
    EngineOptions {
        memory_bytes: 80_000_000_000,
        resident: models.chain(adapters).collect(),
        ..EngineOptions::default()
    }
}

async fn forward_to(upstream: SocketAddr, counts: Rc<ByteCounts>) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    actix_rt::spawn(async move {
        while let Ok((client, _)) = listener.accept().await {
            let Ok(engine) = TcpStream::connect(upstream).await else {
                return;
            };
            counts.connections.set(counts.connections.get() + 1);
            let (client_in, client_out) = client.into_split();
            let (engine_in, engine_out) = engine.into_split();
            let (up, down) = (counts.clone(), counts.clone());
            actix_rt::spawn(pipe(client_in, engine_out, up, |counts| &counts.sent));
            actix_rt::spawn(pipe(engine_in, client_out, down, |counts| &counts.received));
        }
    });
    Ok(address)
}

/// Copies bytes until one side closes, and counts them.
async fn pipe(
    mut from: impl AsyncRead + Unpin,
    mut to: impl AsyncWrite + Unpin,
    counts: Rc<ByteCounts>,
    select_count: fn(&ByteCounts) -> &Cell<u64>,
) {
    let mut buffer = vec![0; 64 << 10];
    while let Ok(length) = from.read(&mut buffer).await {
        if length == 0 || to.write_all(&buffer[..length]).await.is_err() {
            return;
        }
        let count = select_count(&counts);
        if count.get() == 0 {
            let text = String::from_utf8_lossy(&buffer[..length]).into_owned();
            counts.samples.borrow_mut().push(text);
        }
        count.set(count.get() + length as u64);
    }
}
