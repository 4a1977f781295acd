//! A fake host that records the calls of the command line and gives fixed answers.

use actix_web::dev::ServerHandle;
use actix_web::http::StatusCode;
use actix_web::{web, App, HttpRequest, HttpResponse, HttpServer};
use argh::FromArgs;
use crocusyard_cli::arguments::CliArguments;
use crocusyard_cli::output::CommandOutput;
use std::collections::HashMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{mpsc, Arc, Mutex, Once};
use std::thread::JoinHandle;

/// Operator key that the fake host requires on paths below `/admin/`.
pub const KEY: &str = "correct-horse-battery";

/// A call that the fake host received.
#[derive(Clone, Debug)]
pub struct ReceivedCall {
    /// Method, path and query of the call.
    pub line: String,
    /// Body of the call.
    pub body: String,
}

/// A fake host that listens on a loopback port.
pub struct FakeHost {
    address: SocketAddr,
    state: Arc<FakeState>,
    server: ServerHandle,
    thread: Option<JoinHandle<()>>,
}

#[derive(Default)]
struct FakeState {
    answers: HashMap<String, (u16, String)>,
    received_calls: Mutex<Vec<ReceivedCall>>,
}

impl FakeHost {
    /// Starts a host that answers each method and path with the given status and body.
    pub fn start(answers: &[(&str, u16, String)]) -> Self {
        let answers = answers
            .iter()
            .map(|(line, status, body)| ((*line).to_owned(), (*status, body.clone())))
            .collect();
        let state = Arc::new(FakeState {
            answers,
            received_calls: Mutex::default(),
        });
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (sender, receiver) = mpsc::channel();
        let shared = Arc::clone(&state);
        let thread = std::thread::spawn(move || {
            let system = actix_web::rt::System::new();
            system.block_on(async move {
                let server = HttpServer::new(move || {
                    App::new()
                        .app_data(web::Data::from(Arc::clone(&shared)))
                        .default_service(web::to(answer))
                })
                .workers(1)
                .disable_signals()
                .listen(listener)
                .unwrap()
                .run();
                sender.send(server.handle()).unwrap();
                server.await.unwrap();
            });
        });
        Self {
            address,
            state,
            server: receiver.recv().unwrap(),
            thread: Some(thread),
        }
    }

    /// Runs a command against the host.
    pub fn run(&self, arguments: &[&str]) -> CommandOutput {
        // Tests run on several threads, so the environment is changed only once.
        static KEY_SET: Once = Once::new();
        KEY_SET.call_once(|| std::env::set_var("CROCUSYARD_OPERATOR_KEY", KEY));
        let host = self.address.to_string();
        let mut all_arguments = vec!["--host", &host];
        all_arguments.extend(arguments);
        run(&all_arguments)
    }

    /// Returns the calls received so far.
    pub fn received_calls(&self) -> Vec<ReceivedCall> {
        self.state.received_calls.lock().unwrap().clone()
    }
}

impl Drop for FakeHost {
    fn drop(&mut self) {
        // The call starts the stop; the future that it returns only waits for the end.
        drop(self.server.stop(false));
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// Runs a command on a separate thread, because actix systems must not be nested.
pub fn run(arguments: &[&str]) -> CommandOutput {
    let parsed =
        CliArguments::from_args(&["crocusyard"], arguments).expect("the arguments are valid");
    std::thread::spawn(move || crocusyard_cli::run(&parsed))
        .join()
        .unwrap()
}

async fn answer(
    request: HttpRequest,
    body: web::Bytes,
    state: web::Data<FakeState>,
) -> HttpResponse {
    let line = format!("{} {}", request.method(), request.uri());
    state.received_calls.lock().unwrap().push(ReceivedCall {
        line,
        body: String::from_utf8(body.to_vec()).unwrap(),
    });
    let header = request.headers().get("authorization");
    let expected = format!("Bearer {KEY}");
    let allowed = header.is_some_and(|found| found.as_bytes() == expected.as_bytes());
    if request.path().starts_with("/admin/") && !allowed {
        return HttpResponse::Unauthorized().finish();
    }
    let key = format!("{} {}", request.method(), request.path());
    match state.answers.get(&key) {
        Some((status, body)) => HttpResponse::build(StatusCode::from_u16(*status).unwrap())
            .content_type("application/json")
            .body(body.clone()),
        None => HttpResponse::NotFound().finish(),
    }
}
