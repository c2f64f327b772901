//! A small client of HTTP/1.1.

use std::{
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

/// What came back.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    pub body: Vec<u8>,
    /// Whether the body came to its end.
    pub whole: bool,
}

impl Answer {
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Sends one request on a new connection and reads the answer; `Err` where none came.
pub fn call(
    to: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    timeout: Duration,
) -> Result<Answer, String> {
    let until = Instant::now() + timeout;
    let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(1)).map_err(|cause| cause.to_string())?;
    let _ = stream.set_nodelay(true);
    let mut head = format!("{method} {path} HTTP/1.1\r\n");
    if !headers.iter().any(|(name, _)| name.eq_ignore_ascii_case("host")) {
        head.push_str(&format!("Host: {to}\r\n"));
    }
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    if !body.is_empty() || method == "PUT" || method == "POST" {
        head.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes).map_err(|cause| cause.to_string())?;
    let mut reader = BufReader::new(stream);
    read_answer(&mut reader, until)
}

/// Reads one answer.
pub fn read_answer(reader: &mut BufReader<TcpStream>, until: Instant) -> Result<Answer, String> {
    let line = read_line(reader, until)?;
    let status = line.split(' ').nth(1).and_then(|text| text.parse().ok()).ok_or_else(|| format!("no answer: {line:?}"))?;
    let mut headers = Vec::new();
    loop {
        let line = read_line(reader, until)?;
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
    let find = |name: &str| headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, value)| value.clone());
    let mut answer = Answer { status, body: Vec::new(), whole: false };
    if let Some(length) = find("content-length").and_then(|text| text.parse::<usize>().ok()) {
        answer.whole = read_some(reader, length, &mut answer.body, until);
    } else if find("transfer-encoding").is_some() {
        loop {
            let Ok(line) = read_line(reader, until) else { return Ok(answer) };
            let Ok(length) = usize::from_str_radix(line.trim(), 16) else { return Ok(answer) };
            if length == 0 {
                let _ = read_line(reader, until);
                answer.whole = true;
                return Ok(answer);
            }
            if !read_some(reader, length, &mut answer.body, until) || read_line(reader, until).is_err() {
                return Ok(answer);
            }
        }
    } else {
        let mut rest = [0; 4096];
        loop {
            set_timeout(reader, until);
            match reader.read(&mut rest) {
                Ok(0) => {
                    answer.whole = true;
                    break;
                }
                Ok(length) => answer.body.extend_from_slice(&rest[..length]),
                Err(_) => break,
            }
        }
    }
    Ok(answer)
}

fn set_timeout(reader: &BufReader<TcpStream>, until: Instant) {
    let left = until.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
    let _ = reader.get_ref().set_read_timeout(Some(left));
}

pub fn read_line(reader: &mut BufReader<TcpStream>, until: Instant) -> Result<String, String> {
    let mut line = Vec::new();
    loop {
        set_timeout(reader, until);
        match reader.read_until(b'\n', &mut line) {
            Ok(0) => return Err("the connection ended".to_owned()),
            Ok(_) if line.ends_with(b"\n") => break,
            Ok(_) => return Err("the connection ended in a line".to_owned()),
            Err(cause) => return Err(cause.to_string()),
        }
    }
    while matches!(line.last(), Some(b'\n' | b'\r')) {
        line.pop();
    }
    Ok(String::from_utf8_lossy(&line).into_owned())
}

fn read_some(reader: &mut BufReader<TcpStream>, length: usize, into: &mut Vec<u8>, until: Instant) -> bool {
    let mut left = length;
    let mut buffer = [0; 8192];
    while left > 0 {
        set_timeout(reader, until);
        let most = left.min(buffer.len());
        match reader.read(&mut buffer[..most]) {
            Ok(0) | Err(_) => return false,
            Ok(count) => {
                into.extend_from_slice(&buffer[..count]);
                left -= count;
            }
        }
    }
    true
}
