//! The auditor's own readers of WebSocket (RFC 6455) and SIP (RFC 3261): just what the rules need.

/// A SIP message as far as the rules look at it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Sip {
    /// The method of a request, or that of the CSeq of a response.
    pub method: String,
    /// The status of a response.
    pub status: Option<u16>,
    pub call_id: String,
    pub branch: String,
    /// Host of the top Via.
    pub via_host: String,
    /// `fr-within` of the top Via, milliseconds.
    pub within_ms: Option<u64>,
    pub session: String,
    pub expires_s: Option<u64>,
    pub to_tagged: bool,
}

fn parse(head: &str) -> Option<Sip> {
    let mut lines = head.split("\r\n");
    let first = lines.next()?;
    let mut sip = Sip::default();
    match first.strip_prefix("SIP/2.0 ") {
        Some(rest) => sip.status = Some(rest.get(..3)?.parse().ok()?),
        None => sip.method = first.split(' ').next()?.to_owned(),
    }
    let mut top = true;
    for line in lines {
        let Some((name, value)) = line.split_once(':') else { continue };
        let value = value.trim();
        match name.trim().to_ascii_lowercase().as_str() {
            "via" | "v" if top => {
                top = false;
                let via = value.split(',').next().unwrap_or("");
                let mut parts = via.split(';');
                sip.via_host = parts.next().unwrap_or("").split_whitespace().last().unwrap_or("").to_owned();
                for part in parts {
                    match part.split_once('=') {
                        Some((n, v)) if n.trim() == "branch" => sip.branch = v.trim().to_owned(),
                        Some((n, v)) if n.trim() == "fr-within" => sip.within_ms = v.trim().parse().ok(),
                        _ => {}
                    }
                }
            }
            "call-id" | "i" => sip.call_id = value.to_owned(),
            "cseq" if sip.status.is_some() => {
                sip.method = value.split_whitespace().last().unwrap_or("").to_owned();
            }
            "session-id" => sip.session = value.split(';').next().unwrap_or("").trim().to_owned(),
            "expires" => sip.expires_s = value.parse().ok(),
            "to" | "t" => sip.to_tagged = value.to_ascii_lowercase().contains(";tag="),
            _ => {}
        }
    }
    Some(sip)
}

/// SIP on a TCP stream.
#[derive(Debug, Default)]
pub struct TcpReader {
    held: Vec<u8>,
}

impl TcpReader {
    pub fn take(&mut self, bytes: &[u8]) -> Result<Vec<Sip>, String> {
        self.held.extend_from_slice(bytes);
        let mut all = Vec::new();
        loop {
            let skip = self.held.iter().take_while(|b| matches!(b, b'\r' | b'\n')).count();
            let Some(end) = self.held[skip..].windows(4).position(|w| w == b"\r\n\r\n") else {
                return Ok(all);
            };
            let head = String::from_utf8_lossy(&self.held[skip..skip + end]).into_owned();
            let length = head.split("\r\n").find_map(|line| {
                let (name, value) = line.split_once(':')?;
                let name = name.trim();
                let fits = name.eq_ignore_ascii_case("content-length") || name.eq_ignore_ascii_case("l");
                fits.then(|| value.trim().parse::<usize>().ok()).flatten()
            });
            let length = length.ok_or("a message on a stream has no Content-Length")?;
            let total = skip + end + 4 + length;
            if self.held.len() < total {
                return Ok(all);
            }
            self.held.drain(..total);
            all.push(parse(&head).ok_or("a message on a stream cannot be read")?);
        }
    }
}

/// SIP in WebSocket messages, behind the HTTP heads of the handshake.
#[derive(Debug, Default)]
pub struct WsReader {
    held: Vec<u8>,
    shaken: bool,
    /// The upgrade was refused: what follows is no WebSocket.
    refused: bool,
    message: Vec<u8>,
}

impl WsReader {
    pub fn take(&mut self, bytes: &[u8]) -> Result<Vec<Sip>, String> {
        if self.refused {
            return Ok(Vec::new());
        }
        self.held.extend_from_slice(bytes);
        let mut all = Vec::new();
        if !self.shaken {
            let Some(end) = self.held.windows(4).position(|w| w == b"\r\n\r\n") else { return Ok(all) };
            let status = self.held.strip_prefix(b"HTTP/1.1 ");
            self.refused = status.is_some_and(|s| !s.starts_with(b"101"));
            self.held.drain(..end + 4);
            self.shaken = true;
            if self.refused {
                return Ok(all);
            }
        }
        loop {
            let h = &self.held;
            if h.len() < 2 {
                return Ok(all);
            }
            let (last, kind, masked) = (h[0] & 0x80 != 0, h[0] & 15, h[1] & 0x80 != 0);
            let (len, mut at) = match h[1] & 0x7f {
                126 if h.len() >= 4 => (usize::from(h[2]) << 8 | usize::from(h[3]), 4),
                127 if h.len() >= 10 => (h[2..10].iter().fold(0usize, |n, b| n << 8 | usize::from(*b)), 10),
                126 | 127 => return Ok(all),
                short => (usize::from(short), 2),
            };
            let mut key = [0u8; 4];
            if masked {
                if h.len() < at + 4 {
                    return Ok(all);
                }
                key.copy_from_slice(&h[at..at + 4]);
                at += 4;
            }
            if h.len() < at + len {
                return Ok(all);
            }
            let payload: Vec<u8> = h[at..at + len].iter().enumerate().map(|(n, b)| b ^ key[n % 4]).collect();
            self.held.drain(..at + len);
            if kind >= 8 {
                continue;
            }
            self.message.extend(payload);
            if last {
                let whole = std::mem::take(&mut self.message);
                if whole.iter().all(|b| matches!(b, b'\r' | b'\n')) {
                    continue;
                }
                let end = whole.windows(4).position(|w| w == b"\r\n\r\n").unwrap_or(whole.len());
                let head = String::from_utf8_lossy(&whole[..end]).into_owned();
                // What a hostile caller sends need not be SIP; what the gateway sends must.
                if let Some(sip) = parse(&head) {
                    all.push(sip);
                }
            }
        }
    }
}
