//! HTTP/1.1 over blocking sockets: a server with a thread a connection, and a client.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// Headers in their order, with names in lower case.
#[derive(Clone, Debug, Default)]
pub struct Headers(pub Vec<(String, String)>);

impl Headers {
    pub fn get(&self, name: &str) -> Option<&str> {
        let found = self.0.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }
}

/// A request that was read.
#[derive(Debug)]
pub struct Request {
    pub target: String,
    pub headers: Headers,
    pub body: Vec<u8>,
}

impl Request {
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or("")
    }
    pub fn query(&self, name: &str) -> Option<String> {
        let (_, query) = self.target.split_once('?')?;
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs
            .into_iter()
            .find(|(known, _)| *known == name)
            .map(|(_, value)| unescape(value))
    }
}

fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let code = bytes
            .get(at + 1..at + 3)
            .and_then(|digits| std::str::from_utf8(digits).ok());
        match (
            bytes[at],
            code.and_then(|digits| u8::from_str_radix(digits, 16).ok()),
        ) {
            (b'%', Some(byte)) => {
                out.push(byte);
                at += 3;
            }
            (byte, _) => {
                out.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

fn read_line(reader: &mut impl BufRead) -> io::Result<Option<String>> {
    let mut line = Vec::new();
    if reader.read_until(b'\n', &mut line)? == 0 {
        return Ok(None);
    }
    while line
        .last()
        .is_some_and(|byte| matches!(byte, b'\n' | b'\r'))
    {
        line.pop();
    }
    Ok(Some(String::from_utf8_lossy(&line).into_owned()))
}

fn broken(text: &str) -> io::Error {
    io::Error::new(io::ErrorKind::UnexpectedEof, text.to_owned())
}

fn read_headers(reader: &mut impl BufRead) -> io::Result<Headers> {
    let mut headers = Headers::default();
    loop {
        let line = read_line(reader)?.ok_or_else(|| broken("cut in the head"))?;
        if line.is_empty() {
            return Ok(headers);
        }
        if let Some((name, value)) = line.split_once(':') {
            headers
                .0
                .push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

/// Reads chunks to their end; `each` gets their bytes.
fn read_chunks(reader: &mut impl BufRead, mut each: impl FnMut(&[u8])) -> io::Result<()> {
    loop {
        let line = read_line(reader)?.ok_or_else(|| broken("cut before a chunk"))?;
        let size = usize::from_str_radix(line.split(';').next().unwrap_or("").trim(), 16);
        let size = size.map_err(|_| broken("no chunk"))?;
        if size == 0 {
            read_headers(reader)?;
            return Ok(());
        }
        let mut chunk = vec![0; size + 2];
        reader.read_exact(&mut chunk)?;
        each(&chunk[..size]);
    }
}

/// Reads a request; `None` at the end of the connection.
pub fn read_request(reader: &mut impl BufRead) -> io::Result<Option<Request>> {
    let Some(line) = read_line(reader)? else {
        return Ok(None);
    };
    let mut words = line.split(' ');
    let target = words.nth(1).unwrap_or("").to_owned();
    let headers = read_headers(reader)?;
    let mut body = Vec::new();
    if headers.get("transfer-encoding").is_some() {
        read_chunks(reader, |chunk| body.extend_from_slice(chunk))?;
    } else if let Some(length) = headers
        .get("content-length")
        .and_then(|text| text.parse().ok())
    {
        body = vec![0; length];
        reader.read_exact(&mut body)?;
    }
    Ok(Some(Request {
        target,
        headers,
        body,
    }))
}

pub fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        202 => "Accepted",
        409 => "Conflict",
        410 => "Gone",
        412 => "Precondition Failed",
        421 => "Misdirected Request",
        500 => "Internal Server Error",
        503 => "Service Unavailable",
        _ => "Other",
    }
}

/// Writes an answer with a length.
pub fn write_answer(
    stream: &mut impl Write,
    status: u16,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut head = format!(
        "HTTP/1.1 {status} {}\r\nContent-Length: {}\r\n",
        reason(status),
        body.len()
    );
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)?;
    stream.flush()
}

/// Serves each connection of a listener in a thread of its own, until the process ends.
pub fn serve(listener: TcpListener, handle: impl Fn(TcpStream) + Clone + Send + 'static) {
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let _ = stream.set_nodelay(true);
            let handle = handle.clone();
            let thread = std::thread::Builder::new().stack_size(256 * 1024);
            let _ = thread.spawn(move || handle(stream));
        }
    });
}

/// An answer that a client got.
#[derive(Debug, Default)]
pub struct Answer {
    pub status: u16,
    pub headers: Headers,
    pub body: Vec<u8>,
    /// Whether the answer has its whole body.
    pub complete: bool,
}

/// Sends one request on a new connection and reads the answer; `Err` without a whole head.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
) -> Result<Answer, String> {
    let end = Instant::now() + limit;
    let text = |error: io::Error| error.to_string();
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).map_err(text)?;
    stream.set_nodelay(true).map_err(text)?;
    stream.set_read_timeout(Some(limit)).map_err(text)?;
    let mut head = format!("{method} {path} HTTP/1.1\r\n");
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    if !body.is_empty() || method == "POST" {
        head.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes).map_err(text)?;
    let mut reader = BufReader::new(stream);
    let line = read_line(&mut reader)
        .map_err(text)?
        .ok_or("closed without an answer")?;
    let status = line
        .split(' ')
        .nth(1)
        .and_then(|word| word.parse().ok())
        .ok_or("no status")?;
    let headers = read_headers(&mut reader).map_err(text)?;
    let mut answer = Answer {
        status,
        headers,
        ..Answer::default()
    };
    if answer.headers.get("transfer-encoding").is_some() {
        let mut got = Vec::new();
        let read = read_chunks(&mut reader, |chunk| got.extend_from_slice(chunk));
        answer.complete = read.is_ok() && Instant::now() < end;
        answer.body = got;
    } else {
        let length = answer
            .headers
            .get("content-length")
            .and_then(|text| text.parse().ok());
        answer.body = vec![0; length.unwrap_or(0)];
        answer.complete = reader.read_exact(&mut answer.body).is_ok();
    }
    Ok(answer)
}
