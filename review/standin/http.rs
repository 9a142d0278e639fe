//! Just enough HTTP/1.1 for stand-ins and clients: one thread a connection.

use std::{
    io::{self, BufRead, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    time::Duration,
};

/// Largest head or body that is read.
const MESSAGE_MAX: usize = 32 << 20;

/// A request or response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// Value of a header, by its lower-case name.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(it, _)| it == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Word of the start line.
    pub fn word(&self, index: usize) -> &str {
        self.start.split(' ').nth(index).unwrap_or_default()
    }

    /// Path without the query.
    pub fn path(&self) -> &str {
        self.word(1).split('?').next().unwrap_or_default()
    }

    /// Value in the query.
    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.word(1).split_once('?')?;
        let mut pairs = query.split('&').filter_map(|it| it.split_once('='));
        pairs.find(|(it, _)| *it == name).map(|(_, value)| value)
    }

    pub fn number(&self, name: &str) -> u64 {
        self.query(name).and_then(|it| it.parse().ok()).unwrap_or(0)
    }

    /// Status of a response.
    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }
}

fn invalid(text: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, text)
}

/// Reads the start line and the headers; `None` at the end of the connection.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    let mut size = 0;
    loop {
        let mut line = String::new();
        let read = reader.read_line(&mut line)?;
        size += read;
        if read == 0 {
            return if size == 0 {
                Ok(None)
            } else {
                Err(invalid("the head broke off"))
            };
        }
        if size > MESSAGE_MAX {
            return Err(invalid("the head is too large"));
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some(message));
        }
        if message.start.is_empty() {
            message.start = line.into();
        } else if let Some((name, value)) = line.split_once(':') {
            let name = name.trim().to_ascii_lowercase();
            message.headers.push((name, value.trim().into()));
        }
    }
}

/// Reads the body that belongs to a head. A body without a length ends with
/// the connection only in a response.
pub fn read_body(
    reader: &mut impl BufRead,
    message: &mut Message,
    is_response: bool,
) -> io::Result<()> {
    let chunked = message
        .header("transfer-encoding")
        .is_some_and(|it| it.contains("chunked"));
    if chunked {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Err(invalid("the body broke off"));
            }
            let digits = line.trim().split(';').next().unwrap_or_default();
            let size = usize::from_str_radix(digits, 16)
                .map_err(|_| invalid("no size of a chunk"))?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            if size == 0 {
                return Ok(());
            }
            message.body.extend(&chunk[..size]);
        }
    }
    let length = message.header("content-length");
    match length.map(|it| it.parse::<usize>()) {
        Some(Ok(length)) if length <= MESSAGE_MAX => {
            message.body = vec![0; length];
            reader.read_exact(&mut message.body)
        }
        Some(_) => Err(invalid("no usable length")),
        None if is_response => {
            reader.read_to_end(&mut message.body).map(|_| ())
        }
        None => Ok(()),
    }
}

/// Writes a response with a length.
pub fn respond(
    stream: &mut TcpStream,
    status: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut text = format!("HTTP/1.1 {status}\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend(body);
    stream.write_all(&bytes)
}

/// Serves each connection on a thread of its own. The handler answers one
/// request and returns an error to close the connection.
pub fn serve<H>(listener: TcpListener, handler: Arc<H>)
where
    H: Fn(&Message, &mut TcpStream) -> io::Result<()> + Send + Sync + 'static,
{
    std::thread::spawn(move || {
        while let Ok((stream, _)) = listener.accept() {
            let handler = handler.clone();
            std::thread::spawn(move || serve_connection(stream, &*handler));
        }
    });
}

pub fn serve_connection<H>(mut stream: TcpStream, handler: &H)
where
    H: Fn(&Message, &mut TcpStream) -> io::Result<()>,
{
    let _ = stream.set_nodelay(true);
    let Ok(copy) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(copy);
    while let Ok(Some(mut request)) = read_head(&mut reader) {
        if read_body(&mut reader, &mut request, false).is_err()
            || handler(&request, &mut stream).is_err()
        {
            break;
        }
    }
    let _ = stream.shutdown(std::net::Shutdown::Both);
}

/// Sends one request over a new connection and reads the whole response.
pub fn call(
    address: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    timeout: Duration,
) -> io::Result<Message> {
    let mut stream =
        TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.set_write_timeout(Some(timeout))?;
    stream.write_all(&request_bytes(method, target, headers, body))?;
    let mut reader = BufReader::new(stream);
    let head = read_head(&mut reader)?;
    let mut response = head.ok_or_else(|| invalid("closed, no answer"))?;
    read_body(&mut reader, &mut response, true)?;
    Ok(response)
}

pub fn request_bytes(
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> Vec<u8> {
    let mut text = format!("{method} {target} HTTP/1.1\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    if method != "GET" {
        text.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend(body);
    bytes
}
