//! HTTP/1.1 over TCP, for stand-ins and clients: one thread for each connection.

use std::collections::HashMap;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

#[derive(Clone, Debug)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub query: HashMap<String, String>,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }
}

pub fn find<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    let found = headers
        .iter()
        .find(|(key, _)| key.eq_ignore_ascii_case(name));
    found.map(|(_, value)| value.as_str())
}

/// What becomes of a connection after a request.
pub enum Next {
    /// It takes the next request.
    Keep,
    /// It is closed.
    Close,
    /// Nothing more is sent on it; it ends when the other side closes it.
    Silent,
}

/// Starts a server, which answers with `handle` for as long as the process runs.
pub fn serve<H>(listener: TcpListener, handle: H)
where
    H: Fn(&Request, &mut TcpStream) -> io::Result<Next> + Send + Sync + 'static,
{
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            thread::spawn(move || {
                let _ = serve_connection(stream, &*handle);
            });
        }
    });
}

fn serve_connection(
    mut stream: TcpStream,
    handle: &(dyn Fn(&Request, &mut TcpStream) -> io::Result<Next> + Send + Sync),
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    while let Some(request) = read_request(&mut reader)? {
        match handle(&request, &mut stream)? {
            Next::Keep => {}
            Next::Close => return Ok(()),
            Next::Silent => {
                io::copy(&mut reader, &mut io::sink())?;
                return Ok(());
            }
        }
    }
    Ok(())
}

fn read_line(reader: &mut impl BufRead) -> io::Result<Option<String>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    Ok(Some(line.trim_end().to_owned()))
}

fn read_headers(reader: &mut impl BufRead) -> io::Result<Vec<(String, String)>> {
    let mut headers = Vec::new();
    while let Some(line) = read_line(reader)? {
        if line.is_empty() {
            return Ok(headers);
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
    Err(io::ErrorKind::UnexpectedEof.into())
}

fn read_request(reader: &mut impl BufRead) -> io::Result<Option<Request>> {
    let Some(line) = read_line(reader)? else {
        return Ok(None);
    };
    let mut words = line.split(' ');
    let method = words.next().unwrap_or("").to_owned();
    let target = words.next().unwrap_or("").to_owned();
    let headers = read_headers(reader)?;
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let query = pairs
        .map(|(key, value)| (key.to_owned(), unescape(value)))
        .collect();
    let mut body = Vec::new();
    if find(&headers, "transfer-encoding").is_some() {
        read_chunks(reader, |chunk| body.extend_from_slice(chunk))?;
    } else if let Some(length) = find(&headers, "content-length") {
        body = vec![0; length.parse().unwrap_or(0)];
        reader.read_exact(&mut body)?;
    }
    let path = path.to_owned();
    Ok(Some(Request {
        method,
        path,
        query,
        headers,
        body,
    }))
}

fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let code = (bytes[at] == b'%')
            .then(|| text.get(at + 1..at + 3))
            .flatten();
        match code.and_then(|code| u8::from_str_radix(code, 16).ok()) {
            Some(byte) => {
                out.push(byte);
                at += 3;
            }
            None => {
                out.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

fn read_chunks(reader: &mut impl BufRead, mut take: impl FnMut(&[u8])) -> io::Result<()> {
    loop {
        let line = read_line(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        let length = usize::from_str_radix(line.split(';').next().unwrap_or("").trim(), 16)
            .map_err(|_| io::ErrorKind::InvalidData)?;
        let mut chunk = vec![0; length + 2];
        reader.read_exact(&mut chunk)?;
        if length == 0 {
            return Ok(());
        }
        take(&chunk[..length]);
    }
}

/// Writes a complete answer.
pub fn answer(
    stream: &mut TcpStream,
    status: u16,
    headers: &[(&str, String)],
    body: &[u8],
) -> io::Result<()> {
    let mut head = format!("HTTP/1.1 {status} x\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    head += "\r\n";
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

pub fn answer_json(stream: &mut TcpStream, status: u16, body: &str) -> io::Result<Next> {
    let kind = [("Content-Type", "application/json".to_owned())];
    answer(stream, status, &kind, body.as_bytes())?;
    Ok(Next::Keep)
}

/// An answer as a client received it.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the marked end of the body arrived.
    pub complete: bool,
}

/// Sends a request on a new connection. `Ok(None)`: the connection ended without an answer.
pub fn call(
    address: SocketAddr,
    head: &str,
    body: &[u8],
    limit: Duration,
) -> io::Result<Option<Answer>> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    let mut bytes = format!("{head}Content-Length: {}\r\n\r\n", body.len()).into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)?;
    let mut reader = BufReader::new(stream);
    read_answer(&mut reader)
}

pub fn read_answer(reader: &mut impl BufRead) -> io::Result<Option<Answer>> {
    let Some(line) = read_line(reader)? else {
        return Ok(None);
    };
    let status = line
        .split(' ')
        .nth(1)
        .and_then(|text| text.parse().ok())
        .unwrap_or(0);
    let headers = read_headers(reader)?;
    let mut body = Vec::new();
    let complete = if find(&headers, "transfer-encoding").is_some() {
        read_chunks(reader, |chunk| body.extend_from_slice(chunk)).is_ok()
    } else if let Some(length) = find(&headers, "content-length") {
        let length: u64 = length.parse().unwrap_or(0);
        reader.take(length).read_to_end(&mut body).is_ok() && body.len() as u64 == length
    } else {
        reader.read_to_end(&mut body).is_ok()
    };
    Ok(Some(Answer {
        status,
        headers,
        body,
        complete,
    }))
}
