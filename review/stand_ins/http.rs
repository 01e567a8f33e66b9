//! Blocking HTTP/1.1 for the stand-ins: messages with a length, in chunks, or without a body.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Largest head that the stand-ins accept.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// Head and body of a request or an answer.
#[derive(Debug, Clone, Default)]
pub struct Message {
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// First value of a header; `name` is in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers.find_map(|(known, value)| (known == name).then_some(value.as_str()))
    }

    /// Status of an answer.
    pub fn status(&self) -> u16 {
        let status = self.start.split(' ').nth(1);
        status.and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    /// Path with the query of a request.
    pub fn path(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }

    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or("")
    }

    pub fn closes(&self) -> bool {
        let connection = self.header("connection");
        connection.is_some_and(|value| value.to_ascii_lowercase().contains("close"))
    }
}

/// Reads one message; `None` when the peer has closed the connection before it.
pub fn read(reader: &mut impl BufRead, bodyless: bool) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    let mut bytes = 0;
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            let at_start = message.start.is_empty();
            return if at_start {
                Ok(None)
            } else {
                Err(io::ErrorKind::UnexpectedEof.into())
            };
        }
        bytes += line.len();
        if bytes > MAX_HEAD_BYTES {
            return Err(io::ErrorKind::InvalidData.into());
        }
        let line = line.trim_end();
        if message.start.is_empty() {
            message.start = line.to_owned();
        } else if line.is_empty() {
            break;
        } else if let Some((name, value)) = line.split_once(':') {
            let header = (name.to_ascii_lowercase(), value.trim().to_owned());
            message.headers.push(header);
        }
    }
    if bodyless {
        return Ok(Some(message));
    }
    let chunked = message.header("transfer-encoding").is_some();
    let length = message
        .header("content-length")
        .and_then(|text| text.parse().ok());
    if chunked {
        read_chunks(reader, &mut message.body)?;
    } else if let Some(length) = length {
        message.body = vec![0; length];
        reader.read_exact(&mut message.body)?;
    }
    Ok(Some(message))
}

fn read_chunks(reader: &mut impl BufRead, body: &mut Vec<u8>) -> io::Result<()> {
    loop {
        let mut line = String::new();
        reader.read_line(&mut line)?;
        let size = usize::from_str_radix(line.trim(), 16);
        let size = size.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
        let mut chunk = vec![0; size + 2];
        reader.read_exact(&mut chunk)?;
        if size == 0 {
            return Ok(());
        }
        body.extend_from_slice(&chunk[..size]);
    }
}

/// Connection of a client.
pub struct Connection {
    reader: BufReader<TcpStream>,
}

impl Connection {
    pub fn open(address: SocketAddr, timeout: Duration) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, timeout)?;
        stream.set_nodelay(true)?;
        Ok(Self {
            reader: BufReader::new(stream),
        })
    }

    /// Sends a request and reads its answer within the time limit.
    pub fn call(&mut self, head: &str, body: &[u8], limit: Duration) -> io::Result<Message> {
        let stream = self.reader.get_mut();
        stream.set_read_timeout(Some(limit))?;
        stream.set_write_timeout(Some(limit))?;
        let mut bytes = head.as_bytes().to_vec();
        bytes.extend_from_slice(format!("Content-Length: {}\r\n\r\n", body.len()).as_bytes());
        bytes.extend_from_slice(body);
        stream.write_all(&bytes)?;
        let answer = read(&mut self.reader, false)?;
        answer.ok_or_else(|| io::ErrorKind::ConnectionReset.into())
    }
}

/// Sends one request on a connection of its own.
pub fn call(address: SocketAddr, head: &str, body: &[u8], limit: Duration) -> io::Result<Message> {
    Connection::open(address, limit)?.call(head, body, limit)
}
