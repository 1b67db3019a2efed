//! A small HTTP/1.1 server with a thread for each connection, and a client.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::Duration,
};

/// A request as the stand-ins see it.
pub struct Request {
    pub method: String,
    pub path: String,
    pub query: String,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Request {
    /// The value of a header, by its name in any case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let header = self.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        header.map(|(_, value)| value.as_str())
    }

    /// A parameter of the query, percent-decoded.
    pub fn parameter(&self, name: &str) -> String {
        let pairs = self.query.split('&').filter_map(|pair| pair.split_once('='));
        let value = pairs.into_iter().find(|(known, _)| *known == name).map(|(_, value)| value);
        decode(value.unwrap_or_default())
    }
}

/// A response: status and body.
pub type Response = (u16, String);

/// Serves requests on a free loopback port; `None` as response closes the connection.
pub fn serve(
    handler: impl Fn(Request) -> Option<Response> + Send + Sync + 'static,
) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            thread::spawn(move || {
                let _ = serve_connection(stream, &*handler);
            });
        }
    });
    Ok(address)
}

fn serve_connection(
    stream: TcpStream,
    handler: &dyn Fn(Request) -> Option<Response>,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader)? {
        let Some((status, body)) = handler(request) else { return Ok(()) };
        let head = format!(
            "HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        writer.write_all((head + &body).as_bytes())?;
    }
    Ok(())
}

fn read_request(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Request>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut words = line.split_whitespace();
    let method = words.next().unwrap_or_default().to_owned();
    let target = words.next().unwrap_or_default().to_owned();
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let headers = read_headers(reader)?;
    let body = read_body(reader, &headers)?;
    Ok(Some(Request { method, path: path.to_owned(), query: query.to_owned(), headers, body }))
}

fn read_headers(reader: &mut BufReader<TcpStream>) -> io::Result<Vec<(String, String)>> {
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let Some((name, value)) = line.trim_end().split_once(':') else { return Ok(headers) };
        headers.push((name.to_owned(), value.trim().to_owned()));
    }
}

fn read_body(
    reader: &mut BufReader<TcpStream>,
    headers: &[(String, String)],
) -> io::Result<String> {
    let length = headers.iter().find(|(name, _)| name.eq_ignore_ascii_case("content-length"));
    let length = length.and_then(|(_, value)| value.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(String::from_utf8_lossy(&body).into_owned())
}

/// A connection of a client.
pub struct Connection {
    stream: TcpStream,
}

impl Connection {
    pub fn open(address: SocketAddr) -> io::Result<Self> {
        Self::open_within(address, Duration::from_secs(2))
    }

    /// Opens a connection; fails if that takes longer than `limit`.
    pub fn open_within(address: SocketAddr, limit: Duration) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, limit)?;
        stream.set_nodelay(true)?;
        Ok(Self { stream })
    }

    /// Sends a request and waits for the whole response.
    pub fn call(
        &mut self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
        limit: Duration,
    ) -> io::Result<Response> {
        let mut head = format!("{method} {path} HTTP/1.1\r\nContent-Length: {}\r\n", body.len());
        for (name, value) in headers {
            head += &format!("{name}: {value}\r\n");
        }
        self.stream.set_read_timeout(Some(limit))?;
        self.stream.write_all((head + "\r\n" + body).as_bytes())?;
        let mut reader = BufReader::new(self.stream.try_clone()?);
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let status = line.split_whitespace().nth(1).and_then(|code| code.parse().ok());
        let headers = read_headers(&mut reader)?;
        let body = read_body(&mut reader, &headers)?;
        Ok((status.ok_or(io::ErrorKind::InvalidData)?, body))
    }
}

fn decode(text: &str) -> String {
    let mut bytes = text.bytes();
    let mut out = Vec::new();
    while let Some(byte) = bytes.next() {
        if byte != b'%' {
            out.push(byte);
            continue;
        }
        let digit = |byte: Option<u8>| char::from(byte.unwrap_or(b'0')).to_digit(16).unwrap_or(0);
        let (high, low) = (digit(bytes.next()), digit(bytes.next()));
        out.push((high * 16 + low) as u8);
    }
    String::from_utf8_lossy(&out).into_owned()
}
