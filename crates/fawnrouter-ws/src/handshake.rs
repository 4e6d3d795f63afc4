//! The opening handshake (RFC 6455 §4) with the sub-protocol that RFC 7118 §4 requires.

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use sha1::{Digest, Sha1};

use crate::http::{self, Head, HttpError, HttpLimits, RequestLine};

/// Appended to the key of a request to compute Sec-WebSocket-Accept (§1.3).
const ACCEPT_GUID: &[u8] = b"258EAFA5-E914-47DA-95CA-C5AB0DC85B11";

/// The web pages that may open a connection (§10.2). Programs other than browsers send no Origin.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Origins {
    /// Requests from any origin, and requests without an Origin.
    #[default]
    Any,
    /// Requests from these origins, compared without case, and requests without an Origin.
    Listed(Vec<String>),
}

/// What a server accepts.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ServerOptions {
    /// Limits on the head of the request.
    pub limits: HttpLimits,
    /// Supported sub-protocols. The client must offer at least one of them; the first supported one in the
    /// client's order is selected.
    pub protocols: Vec<String>,
    /// The allowed origins.
    pub origins: Origins,
    /// The paths that are served; if empty, any path.
    pub paths: Vec<String>,
}

/// Why a handshake failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum HandshakeError {
    /// The head is not valid HTTP.
    #[error(transparent)]
    Http(#[from] HttpError),
    /// The request is not an upgrade to WebSocket.
    #[error("the request is no upgrade to WebSocket: {0}")]
    NotUpgrade(&'static str),
    /// The WebSocket version is not 13 (§4.4).
    #[error("the WebSocket version is not 13")]
    Version,
    /// The client offers no supported sub-protocol.
    #[error("no sub-protocol in common")]
    Protocol,
    /// The Origin is not allowed.
    #[error("the Origin is not allowed")]
    Origin,
    /// The path is not served.
    #[error("nothing is served at this path")]
    Path,
    /// The server's response does not match the client's request.
    #[error("the server's answer does not fit: {0}")]
    InvalidResponse(&'static str),
    /// The server refused the upgrade with this status.
    #[error("the server refused with status {0}")]
    Refused(u16),
}

impl HandshakeError {
    /// The status of the response to it.
    #[must_use]
    pub const fn status(&self) -> u16 {
        match self {
            Self::Http(e) => e.status(),
            Self::Version | Self::NotUpgrade(_) => 426,
            Self::Protocol => 400,
            Self::Origin => 403,
            Self::Path => 404,
            Self::InvalidResponse(_) | Self::Refused(_) => 500,
        }
    }
}

/// An accepted upgrade.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AcceptedHandshake {
    /// The response to send.
    pub response: Vec<u8>,
    /// Length of the request in bytes; frames may follow it.
    pub consumed: usize,
    /// The selected sub-protocol.
    pub protocol: String,
    /// Values of the Forwarded fields, in order; see [`crate::forwarded_for`].
    pub forwarded: Vec<String>,
}

fn accept_key(key: &str) -> String {
    let mut hash = Sha1::new();
    hash.update(key.as_bytes());
    hash.update(ACCEPT_GUID);
    STANDARD.encode(hash.finalize())
}

/// Handles a client's request (§4.2); `None` while its head is incomplete.
///
/// # Errors
/// Why the request is refused; [`refusal_response`] creates the response.
pub fn accept(bytes: &[u8], options: &ServerOptions) -> Result<Option<AcceptedHandshake>, HandshakeError> {
    let Some(head) = http::parse_request(bytes, &options.limits)? else { return Ok(None) };
    let protocol = negotiate(&head, options)?;
    let key = head.get("Sec-WebSocket-Key").unwrap_or("");
    let response = format!(
        "HTTP/1.1 101 Switching Protocols\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n\
         Sec-WebSocket-Accept: {}\r\nSec-WebSocket-Protocol: {protocol}\r\n\r\n",
        accept_key(key)
    );
    let forwarded = head.values("Forwarded").map(str::to_owned).collect();
    Ok(Some(AcceptedHandshake { response: response.into_bytes(), consumed: head.len, protocol, forwarded }))
}

/// Checks a request against the options and selects the sub-protocol.
fn negotiate(head: &Head<'_, RequestLine<'_>>, options: &ServerOptions) -> Result<String, HandshakeError> {
    if head.line.method != "GET" {
        return Err(HandshakeError::NotUpgrade("the method is not GET"));
    }
    let path = head.line.target.split('?').next().unwrap_or("");
    if !options.paths.is_empty() && !options.paths.iter().any(|p| p == path) {
        return Err(HandshakeError::Path);
    }
    if !head.has_token("Upgrade", "websocket") || !head.has_token("Connection", "Upgrade") {
        return Err(HandshakeError::NotUpgrade("Upgrade and Connection do not ask for it"));
    }
    if head.get("Sec-WebSocket-Version") != Some("13") {
        return Err(HandshakeError::Version);
    }
    let keys = head.values("Sec-WebSocket-Key").collect::<Vec<_>>();
    let is_valid = |key: &&str| STANDARD.decode(key).is_ok_and(|raw| raw.len() == 16);
    if keys.len() != 1 || !keys.iter().all(is_valid) {
        return Err(HandshakeError::NotUpgrade("Sec-WebSocket-Key is not 16 bytes in base64"));
    }
    if let (Origins::Listed(allowed), Some(origin)) = (&options.origins, head.get("Origin"))
        && !allowed.iter().any(|o| o.eq_ignore_ascii_case(origin))
    {
        return Err(HandshakeError::Origin);
    }
    let offered = head.values("Sec-WebSocket-Protocol").flat_map(|v| v.split(',')).map(str::trim);
    let selected = offered.into_iter().find(|o| options.protocols.iter().any(|p| p.eq_ignore_ascii_case(o)));
    selected.map(str::to_owned).ok_or(HandshakeError::Protocol)
}

/// The response to a refused request. `retry_after`, in seconds, belongs to a 503.
#[must_use]
pub fn refusal_response(status: u16, reason: &str, retry_after: Option<u64>) -> Vec<u8> {
    let phrase = match status {
        400 => "Bad Request",
        403 => "Forbidden",
        404 => "Not Found",
        408 => "Request Timeout",
        426 => "Upgrade Required",
        431 => "Request Header Fields Too Large",
        503 => "Service Unavailable",
        505 => "HTTP Version Not Supported",
        _ => "Error",
    };
    let retry = retry_after.map_or(String::new(), |s| format!("Retry-After: {s}\r\n"));
    let upgrade = match status {
        426 => "Upgrade: websocket\r\nSec-WebSocket-Version: 13\r\n",
        _ => "",
    };
    let connection = if status == 426 { "Upgrade, close" } else { "close" };
    let body = format!("{reason}\n");
    format!(
        "HTTP/1.1 {status} {phrase}\r\n{upgrade}{retry}Connection: {connection}\r\n\
         Content-Type: text/plain; charset=utf-8\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

/// The client's side of the handshake.
#[derive(Clone, Debug)]
pub struct ClientHandshake {
    key: String,
    protocol: String,
}

impl ClientHandshake {
    /// Creates a handshake with a nonce of 16 random bytes (§4.1).
    #[must_use]
    pub fn new(nonce: [u8; 16], protocol: &str) -> Self {
        Self { key: STANDARD.encode(nonce), protocol: protocol.to_owned() }
    }

    /// Returns the request to send.
    #[must_use]
    pub fn request(&self, host: &str, path: &str, origin: Option<&str>) -> Vec<u8> {
        let origin = origin.map_or(String::new(), |o| format!("Origin: {o}\r\n"));
        format!(
            "GET {path} HTTP/1.1\r\nHost: {host}\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n\
             Sec-WebSocket-Key: {}\r\nSec-WebSocket-Version: 13\r\nSec-WebSocket-Protocol: {}\r\n{origin}\r\n",
            self.key, self.protocol
        )
        .into_bytes()
    }

    /// Checks the response. Returns its length in bytes, or `None` while its head is incomplete.
    ///
    /// # Errors
    /// If the server refuses, or its response does not match the request.
    pub fn check(&self, bytes: &[u8], limits: &HttpLimits) -> Result<Option<usize>, HandshakeError> {
        let Some(head) = http::parse_response(bytes, limits)? else { return Ok(None) };
        if head.line.status != 101 {
            return Err(HandshakeError::Refused(head.line.status));
        }
        if !head.has_token("Upgrade", "websocket") || !head.has_token("Connection", "Upgrade") {
            return Err(HandshakeError::InvalidResponse("Upgrade"));
        }
        if head.get("Sec-WebSocket-Accept") != Some(accept_key(&self.key).as_str()) {
            return Err(HandshakeError::InvalidResponse("Sec-WebSocket-Accept"));
        }
        if head.get("Sec-WebSocket-Extensions").is_some() {
            return Err(HandshakeError::InvalidResponse("Sec-WebSocket-Extensions"));
        }
        if !head.get("Sec-WebSocket-Protocol").is_some_and(|p| p.eq_ignore_ascii_case(&self.protocol)) {
            return Err(HandshakeError::InvalidResponse("Sec-WebSocket-Protocol"));
        }
        Ok(Some(head.len))
    }
}
