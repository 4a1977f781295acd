//! Guards against malformed requests that make a handler hang or panic, or that are refused without
//! a reason.

use crocusyard_testbed::prelude::*;
use serde_json::Value;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Time limit of one case; a case that takes longer counts as hanging.
const CASE_LIMIT: Duration = Duration::from_secs(30);
const SETTINGS: &str = "requests: { tenant_from: header, load_poll_ms: 100 }\n\
                        limits: { body_bytes: 65536, header_bytes: 8192, header_read_ms: 500 }\n";
const CHAT: &str = "POST /v1/chat/completions HTTP/1.1";
const TENANT: &str = "x-tenant: plazas";
const MESSAGES: &str = r#""messages":[{"role":"user","content":"x"}]"#;

/// A malformed request and the expected refusal.
struct InputCase {
    name: &'static str,
    head: String,
    body: Vec<u8>,
    status: u16,
    /// Code in the problem document; `None` if the HTTP library refuses before any handler runs.
    code: Option<&'static str>,
}

/// Makes a case from the header lines and the body of a request.
fn case(
    name: &'static str,
    head: &[&str],
    body: impl Into<Vec<u8>>,
    status: u16,
    code: &'static str,
) -> InputCase {
    let body = body.into();
    let head = format!(
        "{}\r\ncontent-length: {}\r\n",
        head.join("\r\n"),
        body.len()
    );
    InputCase {
        name,
        head,
        body,
        status,
        code: Some(code),
    }
}

/// Makes a case without a body that the HTTP library refuses.
fn raw(name: &'static str, head: &str, status: u16) -> InputCase {
    InputCase {
        name,
        head: head.to_owned(),
        body: Vec::new(),
        status,
        code: None,
    }
}

/// Makes a chat request with valid headers and a malformed body.
fn chat(name: &'static str, body: &str, code: &'static str) -> InputCase {
    let status = if code == "unknown_model" { 404 } else { 400 };
    case(name, &[CHAT, TENANT], body, status, code)
}

fn json_cases() -> Vec<InputCase> {
    let model = |rest: &str| format!(r#"{{"model":"chalk-small",{rest}}}"#);
    vec![
        chat("empty body", "", "bad_request"),
        chat("not JSON", "model=chalk-small", "bad_request"),
        chat("cut JSON", r#"{"model":"chalk-small","#, "bad_request"),
        chat("JSON list", "[]", "bad_request"),
        chat("JSON null", "null", "bad_request"),
        chat("JSON number", "7", "bad_request"),
        chat("deep JSON", &"[".repeat(5000), "bad_request"),
        chat("no model", &format!("{{{MESSAGES}}}"), "bad_request"),
        chat(
            "model is a number",
            &format!(r#"{{"model":7,{MESSAGES}}}"#),
            "bad_request",
        ),
        chat(
            "unknown model",
            &format!(r#"{{"model":"none",{MESSAGES}}}"#),
            "unknown_model",
        ),
        chat(
            "empty model",
            &format!(r#"{{"model":"",{MESSAGES}}}"#),
            "unknown_model",
        ),
        chat("no messages", r#"{"model":"chalk-small"}"#, "bad_request"),
        chat("empty messages", &model(r#""messages":[]"#), "bad_request"),
        chat(
            "messages are text",
            &model(r#""messages":"x""#),
            "bad_request",
        ),
        chat(
            "message without content",
            &model(r#""messages":[{"role":"user"}]"#),
            "bad_request",
        ),
        chat(
            "content is a number",
            &model(r#""messages":[{"content":7}]"#),
            "bad_request",
        ),
        chat(
            "stream is text",
            &model(&format!(r#""stream":"yes",{MESSAGES}"#)),
            "bad_request",
        ),
        chat(
            "negative tokens",
            &model(&format!(r#""max_tokens":-1,{MESSAGES}"#)),
            "bad_request",
        ),
        chat(
            "huge tokens",
            &model(&format!(r#""max_tokens":1e30,{MESSAGES}"#)),
            "bad_request",
        ),
        chat(
            "several choices",
            &model(&format!(r#""n":3,{MESSAGES}"#)),
            "bad_request",
        ),
        case(
            "invalid UTF-8",
            &[CHAT, TENANT],
            vec![b'"', 0xff, 0xfe, b'"'],
            400,
            "bad_request",
        ),
    ]
}

fn header_cases() -> Vec<InputCase> {
    let body = format!(r#"{{"model":"chalk-small",{MESSAGES}}}"#);
    let with = |name, header: &str, status, code| {
        case(name, &[CHAT, TENANT, header], body.clone(), status, code)
    };
    let long_id = format!("x-request-id: {}", "a".repeat(200));
    let call = "POST /services/mostrador/orders HTTP/1.1";
    vec![
        case("no tenant", &[CHAT], body.clone(), 401, "unknown_tenant"),
        case(
            "unknown tenant",
            &[CHAT, "x-tenant: x"],
            body.clone(),
            401,
            "unknown_tenant",
        ),
        with(
            "unknown class",
            "x-request-class: none",
            400,
            "unknown_class",
        ),
        with(
            "deadline is text",
            "x-request-deadline-ms: soon",
            400,
            "bad_header",
        ),
        with(
            "deadline is zero",
            "x-request-deadline-ms: 0",
            400,
            "bad_header",
        ),
        with(
            "deadline is huge",
            "x-request-deadline-ms: 99999999999",
            400,
            "bad_header",
        ),
        with("long request id", &long_id, 400, "bad_header"),
        with(
            "foreign resume token",
            "last-event-id: x.1.y.z",
            400,
            "bad_resume_token",
        ),
        case(
            "key with a slash",
            &[call, TENANT, "idempotency-key: a/b"],
            "",
            400,
            "bad_header",
        ),
        case(
            "empty key",
            &[call, TENANT, "idempotency-key: "],
            "",
            400,
            "bad_header",
        ),
    ]
}

fn path_cases() -> Vec<InputCase> {
    let large = vec![b'a'; 100_000];
    vec![
        case(
            "unknown path",
            &["GET /nothing HTTP/1.1", TENANT],
            "",
            404,
            "not_found",
        ),
        case(
            "wrong method",
            &["PUT /v1/models HTTP/1.1", TENANT],
            "",
            404,
            "not_found",
        ),
        case(
            "unknown service",
            &["GET /services/x/ HTTP/1.1", TENANT],
            "",
            404,
            "unknown_service",
        ),
        case("large body", &[CHAT, TENANT], large, 413, "body_too_large"),
        raw("not HTTP", "HELLO\r\n", 400),
        raw("bad version", "GET / HTTP/9.9\r\n", 400),
        raw(
            "bad length",
            &format!("{CHAT}\r\n{TENANT}\r\ncontent-length: x\r\n"),
            400,
        ),
        raw(
            "header flood",
            &format!("{CHAT}\r\n{}", "x-flood: 1\r\n".repeat(5000)),
            431,
        ),
        raw(
            "long header",
            &format!("{CHAT}\r\nx-long: {}\r\n", "a".repeat(300_000)),
            431,
        ),
    ]
}

/// Sends the raw bytes of a case and returns all bytes up to the end of the connection.
async fn exchange(entry: SocketAddr, case: &InputCase) -> Vec<u8> {
    let mut stream = TcpStream::connect(entry)
        .await
        .expect("the host does not accept a connection");
    let head = format!("{}host: test\r\nconnection: close\r\n\r\n", case.head);
    // The host may refuse and close before everything is sent.
    let _ = stream.write_all(head.as_bytes()).await;
    let _ = stream.write_all(&case.body).await;
    let mut answer = Vec::new();
    let mut buffer = [0; 4096];
    while let Ok(count) = stream.read(&mut buffer).await {
        if count == 0 {
            break;
        }
        answer.extend_from_slice(&buffer[..count]);
    }
    answer
}

fn status_of(answer: &[u8]) -> Option<u16> {
    let text = String::from_utf8_lossy(answer);
    text.split(' ').nth(1)?.parse().ok()
}

fn problem_of(answer: &[u8]) -> Value {
    let text = String::from_utf8_lossy(answer);
    let start = text.find("\r\n\r\n").map_or(text.len(), |index| index + 4);
    serde_json::from_str(&text[start..]).unwrap_or(Value::Null)
}

/// Guards against malformed requests that hang, or that get the wrong status, code or outcome.
#[actix_web::test]
async fn malformed_input_is_refused_with_a_reason() {
    let deployment = LocalBuilder::default()
        .hosts(1)
        .settings(SETTINGS)
        .start()
        .await
        .expect("the deployment cannot start");
    let cases: Vec<_> = json_cases()
        .into_iter()
        .chain(header_cases())
        .chain(path_cases())
        .collect();
    assert!(
        cases.len() >= 25,
        "only {} cases, expected at least 25",
        cases.len()
    );
    for case in &cases {
        let answer = tokio::time::timeout(CASE_LIMIT, exchange(deployment.entry(0), case))
            .await
            .unwrap_or_else(|_| panic!("the case \"{}\" hangs", case.name));
        assert_eq!(status_of(&answer), Some(case.status), "{}", case.name);
        if let Some(code) = case.code {
            let problem = problem_of(&answer);
            assert_eq!(problem["code"], code, "{}: {problem}", case.name);
            assert_eq!(problem["outcome"], "not_run", "{}", case.name);
        }
    }
}

/// Sends only the beginning of a request and returns the status of the answer.
async fn send_and_stall(beginning: &str) -> Option<u16> {
    let deployment = LocalBuilder::default()
        .hosts(1)
        .settings(SETTINGS)
        .start()
        .await
        .expect("the deployment cannot start");
    let mut stream = TcpStream::connect(deployment.entry(0))
        .await
        .expect("the host does not accept a connection");
    stream
        .write_all(beginning.as_bytes())
        .await
        .expect("the beginning of the request cannot be sent");
    let mut answer = Vec::new();
    tokio::time::timeout(CASE_LIMIT, stream.read_to_end(&mut answer))
        .await
        .expect("the host did not close the connection in time")
        .expect("the answer cannot be read");
    status_of(&answer)
}

/// Guards against a connection that stays open for ever because its caller stops within the
/// headers.
#[actix_web::test]
async fn stalled_header_is_refused() {
    let beginning = format!("{CHAT}\r\nx-a: ");
    assert_eq!(send_and_stall(&beginning).await, Some(408));
}

/// Guards against a handler that waits for ever because its caller stops within the body.
#[actix_web::test]
async fn stalled_body_is_refused() {
    let beginning = format!("{CHAT}\r\nhost: test\r\n{TENANT}\r\ncontent-length: 100\r\n\r\n{{");
    assert_eq!(send_and_stall(&beginning).await, Some(408));
}

/// Guards against malformed requests that stop a host from serving other callers.
#[actix_web::test]
async fn other_callers_are_served_after_malformed_input() {
    let deployment = LocalBuilder::default()
        .hosts(1)
        .settings(SETTINGS)
        .start()
        .await
        .expect("the deployment cannot start");
    for case in json_cases() {
        exchange(deployment.entry(0), &case).await;
    }
    let client = TestClient::new("plazas");
    let answer = client
        .stream(deployment.entry(0), "chalk-small", "hello", 4)
        .await;
    assert!(answer.complete, "{answer:?}");
}
