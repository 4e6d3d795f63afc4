//! Readers of WebSocket (RFC 6455) and SIP (RFC 3261) streams, limited to what the rules need. They share no
//! code with the gateway, so that an error in its codecs is not repeated here.

/// The parts of a SIP message that the rules use.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SipMessage {
    /// The method of a request, or that of the CSeq of a response.
    pub method: String,
    /// The status of a response; `None` for a request.
    pub status: Option<u16>,
    pub call_id: String,
    /// The branch of the top Via.
    pub branch: String,
    /// The sent-by value of the top Via.
    pub via_host: String,
    /// `fr-within` of the top Via: the time-out of the attempt in milliseconds.
    pub fr_within_ms: Option<u64>,
    /// The Session-ID without its parameters.
    pub session_id: String,
    pub expires_s: Option<u64>,
    /// Whether the To has a tag, as in requests within a dialog.
    pub has_to_tag: bool,
}

fn parse_head(head: &str) -> Option<SipMessage> {
    let mut lines = head.split("\r\n");
    let first = lines.next()?;
    let mut sip = SipMessage::default();
    match first.strip_prefix("SIP/2.0 ") {
        Some(rest) => sip.status = Some(rest.get(..3)?.parse().ok()?),
        None => sip.method = first.split(' ').next()?.to_owned(),
    }
    let mut is_top_via = true;
    for line in lines {
        let Some((name, value)) = line.split_once(':') else { continue };
        let value = value.trim();
        match name.trim().to_ascii_lowercase().as_str() {
            "via" | "v" if is_top_via => {
                is_top_via = false;
                let via = value.split(',').next().unwrap_or("");
                let mut parts = via.split(';');
                sip.via_host = parts.next().unwrap_or("").split_whitespace().last().unwrap_or("").to_owned();
                for part in parts {
                    match part.split_once('=') {
                        Some((n, v)) if n.trim() == "branch" => sip.branch = v.trim().to_owned(),
                        Some((n, v)) if n.trim() == "fr-within" => sip.fr_within_ms = v.trim().parse().ok(),
                        _ => {}
                    }
                }
            }
            "call-id" | "i" => sip.call_id = value.to_owned(),
            "cseq" if sip.status.is_some() => {
                sip.method = value.split_whitespace().last().unwrap_or("").to_owned();
            }
            "session-id" => sip.session_id = value.split(';').next().unwrap_or("").trim().to_owned(),
            "expires" => sip.expires_s = value.parse().ok(),
            "to" | "t" => sip.has_to_tag = value.to_ascii_lowercase().contains(";tag="),
            _ => {}
        }
    }
    Some(sip)
}

/// Reads SIP messages from a TCP stream.
#[derive(Debug, Default)]
pub struct TcpReader {
    buffer: Vec<u8>,
}

impl TcpReader {
    /// Adds bytes and returns the messages that are complete with them.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Vec<SipMessage>, String> {
        self.buffer.extend_from_slice(bytes);
        let mut messages = Vec::new();
        loop {
            let skip = self.buffer.iter().take_while(|b| matches!(b, b'\r' | b'\n')).count();
            let Some(end) = self.buffer[skip..].windows(4).position(|w| w == b"\r\n\r\n") else {
                return Ok(messages);
            };
            let head = String::from_utf8_lossy(&self.buffer[skip..skip + end]).into_owned();
            let length = head.split("\r\n").find_map(|line| {
                let (name, value) = line.split_once(':')?;
                let name = name.trim();
                let is_length = name.eq_ignore_ascii_case("content-length") || name.eq_ignore_ascii_case("l");
                is_length.then(|| value.trim().parse::<usize>().ok()).flatten()
            });
            let length = length.ok_or("a message on a stream has no Content-Length")?;
            let total = skip + end + 4 + length;
            if self.buffer.len() < total {
                return Ok(messages);
            }
            self.buffer.drain(..total);
            messages.push(parse_head(&head).ok_or("a message on a stream cannot be read")?);
        }
    }
}

/// Reads SIP messages from a WebSocket stream, after the HTTP head of the handshake.
#[derive(Debug, Default)]
pub struct WsReader {
    buffer: Vec<u8>,
    handshake_done: bool,
    /// The upgrade was refused, so the bytes that follow are not WebSocket frames.
    upgrade_refused: bool,
    message: Vec<u8>,
}

impl WsReader {
    /// Adds bytes and returns the messages that are complete with them.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Vec<SipMessage>, String> {
        if self.upgrade_refused {
            return Ok(Vec::new());
        }
        self.buffer.extend_from_slice(bytes);
        let mut messages = Vec::new();
        if !self.handshake_done {
            let Some(end) = self.buffer.windows(4).position(|w| w == b"\r\n\r\n") else {
                return Ok(messages);
            };
            let status = self.buffer.strip_prefix(b"HTTP/1.1 ");
            self.upgrade_refused = status.is_some_and(|s| !s.starts_with(b"101"));
            self.buffer.drain(..end + 4);
            self.handshake_done = true;
            if self.upgrade_refused {
                return Ok(messages);
            }
        }
        loop {
            let frame = &self.buffer;
            if frame.len() < 2 {
                return Ok(messages);
            }
            let (fin, opcode, masked) = (frame[0] & 0x80 != 0, frame[0] & 15, frame[1] & 0x80 != 0);
            let (len, mut offset) = match frame[1] & 0x7f {
                126 if frame.len() >= 4 => (usize::from(frame[2]) << 8 | usize::from(frame[3]), 4),
                127 if frame.len() >= 10 => {
                    (frame[2..10].iter().fold(0usize, |n, b| n << 8 | usize::from(*b)), 10)
                }
                126 | 127 => return Ok(messages),
                short => (usize::from(short), 2),
            };
            let mut key = [0u8; 4];
            if masked {
                if frame.len() < offset + 4 {
                    return Ok(messages);
                }
                key.copy_from_slice(&frame[offset..offset + 4]);
                offset += 4;
            }
            if frame.len() < offset + len {
                return Ok(messages);
            }
            let payload: Vec<u8> =
                frame[offset..offset + len].iter().enumerate().map(|(n, b)| b ^ key[n % 4]).collect();
            self.buffer.drain(..offset + len);
            if opcode >= 8 {
                continue;
            }
            self.message.extend(payload);
            if fin {
                let whole = std::mem::take(&mut self.message);
                if whole.iter().all(|b| matches!(b, b'\r' | b'\n')) {
                    continue;
                }
                let end = whole.windows(4).position(|w| w == b"\r\n\r\n").unwrap_or(whole.len());
                let head = String::from_utf8_lossy(&whole[..end]).into_owned();
                // The gateway must send SIP, but a hostile caller need not: a message that is not SIP is
                // skipped.
                if let Some(sip) = parse_head(&head) {
                    messages.push(sip);
                }
            }
        }
    }
}
