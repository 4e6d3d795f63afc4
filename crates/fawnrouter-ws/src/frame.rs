//! Frames and messages (RFC 6455 §5 to §8).

/// Which side this is: clients mask, servers don't (§5.1).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Receives masked frames.
    Server,
    /// Receives plain frames.
    Client,
}

/// What a frame holds (§5.2).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Opcode {
    /// More of a message.
    Continuation,
    /// The start of a text message.
    Text,
    /// The start of a binary message.
    Binary,
    /// The end of the connection.
    Close,
    /// A question whether the peer is there.
    Ping,
    /// The answer to it.
    Pong,
}

impl Opcode {
    const fn bits(self) -> u8 {
        match self {
            Self::Continuation => 0,
            Self::Text => 1,
            Self::Binary => 2,
            Self::Close => 8,
            Self::Ping => 9,
            Self::Pong => 10,
        }
    }

    const fn of(bits: u8) -> Option<Self> {
        match bits {
            0 => Some(Self::Continuation),
            1 => Some(Self::Text),
            2 => Some(Self::Binary),
            8 => Some(Self::Close),
            9 => Some(Self::Ping),
            10 => Some(Self::Pong),
            _ => None,
        }
    }
}

/// A status of a close frame (§7.4).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CloseCode(pub u16);

impl CloseCode {
    /// The purpose is fulfilled.
    pub const NORMAL: Self = Self(1000);
    /// The endpoint goes away.
    pub const AWAY: Self = Self(1001);
    /// The peer broke the protocol.
    pub const PROTOCOL: Self = Self(1002);
    /// Data of a type that is not accepted.
    pub const UNSUPPORTED: Self = Self(1003);
    /// Text that is not UTF-8.
    pub const NOT_UTF8: Self = Self(1007);
    /// The peer broke a policy.
    pub const POLICY: Self = Self(1008);
    /// A message too large.
    pub const TOO_LARGE: Self = Self(1009);
    /// Try again later (IANA registry of close codes).
    pub const LATER: Self = Self(1013);

    /// Whether a peer may send it (§7.4.1, §7.4.2).
    #[must_use]
    pub const fn may_be_sent(self) -> bool {
        matches!(self.0, 1000..=1003 | 1007..=1014 | 3000..=4999)
    }
}

/// Why a connection fails (§7.1.7), with the status to close it with.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum FrameError {
    /// Bits that no extension was agreed for, or an opcode that is not defined.
    #[error("a reserved bit or opcode is used")]
    Reserved,
    /// A client's frame without a mask, or a server's with one.
    #[error("a frame is masked the wrong way")]
    Mask,
    /// A control frame over 125 bytes or in pieces (§5.5).
    #[error("a control frame is in pieces or too long")]
    Control,
    /// A length not in its shortest form, or with its top bit set.
    #[error("a frame's length is badly written")]
    Length,
    /// A continuation of nothing, or a new message inside another (§5.4).
    #[error("a frame is out of sequence")]
    Sequence,
    /// Over the limit on frames or messages.
    #[error("a message is over the limit of {0} bytes")]
    TooLarge(usize),
    /// Text, or the reason of a close, that is not UTF-8.
    #[error("text is not UTF-8")]
    NotUtf8,
    /// A close frame with one byte or a status that may not be sent.
    #[error("a close frame is badly written")]
    Close,
}

impl FrameError {
    /// The status to close with.
    #[must_use]
    pub const fn close_code(self) -> CloseCode {
        match self {
            Self::TooLarge(_) => CloseCode::TOO_LARGE,
            Self::NotUtf8 => CloseCode::NOT_UTF8,
            _ => CloseCode::PROTOCOL,
        }
    }
}

/// What a peer sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event<'a> {
    /// A whole text message.
    Text(&'a str),
    /// A whole binary message.
    Binary(&'a [u8]),
    /// Answer it with a pong of the same bytes.
    Ping(&'a [u8]),
    /// An answer to a ping, or unasked.
    Pong(&'a [u8]),
    /// Nothing comes after it; answer it with a close of the same status if none was sent.
    Close(Option<CloseCode>),
}

/// Cuts a stream into messages. Holds one message at the most, within the limit.
#[derive(Debug)]
pub struct Decoder {
    role: Role,
    limit: usize,
    buffer: Vec<u8>,
    read: usize,
    /// A message in pieces: its kind and what came of it so far.
    partial: Option<Opcode>,
    pieces: Vec<u8>,
    closed: bool,
}

#[derive(Clone, Copy)]
struct Header {
    fin: bool,
    opcode: Opcode,
    mask: Option<[u8; 4]>,
    start: usize,
    len: usize,
}

impl Decoder {
    /// A decoder for what `role` receives, with a limit in bytes on a message and on each of its frames.
    #[must_use]
    pub fn new(role: Role, limit: usize) -> Self {
        Self { role, limit, buffer: Vec::new(), read: 0, partial: None, pieces: Vec::new(), closed: false }
    }

    /// Takes bytes from the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        if self.read == self.buffer.len() {
            if self.buffer.capacity() > KEPT && bytes.len() <= KEPT / 4 {
                self.buffer = Vec::new();
            }
            self.buffer.clear();
            self.read = 0;
        } else if self.read >= self.buffer.len() / 2 {
            // What is left moves to the front only when that costs less than what was read: it may be most of a large
            // frame.
            self.buffer.drain(..self.read);
            self.read = 0;
        }
        self.buffer.extend_from_slice(bytes);
    }

    /// The next message or control frame that is all there.
    ///
    /// # Errors
    /// The connection is to be failed; nothing can be read after it.
    pub fn next_event(&mut self) -> Result<Option<Event<'_>>, FrameError> {
        loop {
            if self.closed {
                return Ok(None);
            }
            let Some(header) = self.header()? else { return Ok(None) };
            let Some(payload) = self.buffer.get_mut(header.start..header.start + header.len) else {
                return Ok(None);
            };
            if let Some(mask) = header.mask {
                apply_mask(payload, mask);
            }
            self.read = header.start + header.len;
            match (header.opcode, self.partial) {
                (Opcode::Ping | Opcode::Pong | Opcode::Close, _) => return self.control(header).map(Some),
                (Opcode::Continuation, None) | (Opcode::Text | Opcode::Binary, Some(_)) => {
                    return Err(FrameError::Sequence);
                }
                (kind, None) if header.fin => return self.whole(kind, header).map(Some),
                (kind, _) => {
                    let kind = *self.partial.get_or_insert(kind);
                    let part = &self.buffer[header.start..header.start + header.len];
                    self.pieces.extend_from_slice(part);
                    if header.fin {
                        self.partial = None;
                        return self.joined(kind).map(Some);
                    }
                }
            }
        }
    }

    fn header(&self) -> Result<Option<Header>, FrameError> {
        let rest = &self.buffer[self.read..];
        let &[first, second, ..] = rest else { return Ok(None) };
        let opcode = Opcode::of(first & 0x0f).filter(|_| first & 0x70 == 0).ok_or(FrameError::Reserved)?;
        let fin = first & 0x80 != 0;
        let masked = second & 0x80 != 0;
        if masked != (self.role == Role::Server) {
            return Err(FrameError::Mask);
        }
        let short = usize::from(second & 0x7f);
        if opcode.bits() >= 8 && (!fin || short > 125) {
            return Err(FrameError::Control);
        }
        let (len, mut at) = match short {
            126 => {
                let Some(&[a, b]) = rest.get(2..4) else { return Ok(None) };
                let len = u16::from_be_bytes([a, b]);
                if len < 126 {
                    return Err(FrameError::Length);
                }
                (usize::from(len), 4)
            }
            127 => {
                let Some(raw) = rest.get(2..10).and_then(|r| <[u8; 8]>::try_from(r).ok()) else {
                    return Ok(None);
                };
                let len = u64::from_be_bytes(raw);
                if len <= 0xffff || len >> 63 != 0 {
                    return Err(FrameError::Length);
                }
                (usize::try_from(len).map_err(|_| FrameError::TooLarge(self.limit))?, 10)
            }
            short => (short, 2),
        };
        let joined = if opcode == Opcode::Continuation { self.pieces.len() } else { 0 };
        if len.saturating_add(joined) > self.limit && opcode.bits() < 8 {
            return Err(FrameError::TooLarge(self.limit));
        }
        let mut mask = None;
        if masked {
            let Some(raw) = rest.get(at..at + 4).and_then(|r| <[u8; 4]>::try_from(r).ok()) else {
                return Ok(None);
            };
            mask = Some(raw);
            at += 4;
        }
        Ok(Some(Header { fin, opcode, mask, start: self.read + at, len }))
    }

    fn control(&mut self, header: Header) -> Result<Event<'_>, FrameError> {
        let payload = &self.buffer[header.start..header.start + header.len];
        match header.opcode {
            Opcode::Ping => Ok(Event::Ping(payload)),
            Opcode::Pong => Ok(Event::Pong(payload)),
            _ => {
                self.closed = true;
                let [a, b, reason @ ..] = payload else {
                    return if payload.is_empty() { Ok(Event::Close(None)) } else { Err(FrameError::Close) };
                };
                let code = CloseCode(u16::from_be_bytes([*a, *b]));
                if !code.may_be_sent() {
                    return Err(FrameError::Close);
                }
                simdutf8::basic::from_utf8(reason).map_err(|_| FrameError::NotUtf8)?;
                Ok(Event::Close(Some(code)))
            }
        }
    }

    fn whole(&self, kind: Opcode, header: Header) -> Result<Event<'_>, FrameError> {
        let payload = &self.buffer[header.start..header.start + header.len];
        if kind == Opcode::Binary {
            return Ok(Event::Binary(payload));
        }
        simdutf8::basic::from_utf8(payload).map(Event::Text).map_err(|_| FrameError::NotUtf8)
    }

    fn joined(&mut self, kind: Opcode) -> Result<Event<'_>, FrameError> {
        // The pieces are kept until the next message, as the event borrows them.
        self.buffer.drain(..self.read);
        self.read = 0;
        let len = self.pieces.len();
        self.buffer.splice(..0, self.pieces.drain(..));
        self.read = len;
        let payload = &self.buffer[..len];
        if kind == Opcode::Binary {
            return Ok(Event::Binary(payload));
        }
        simdutf8::basic::from_utf8(payload).map(Event::Text).map_err(|_| FrameError::NotUtf8)
    }
}

/// An empty buffer larger than this is given back: an idle connection holds little.
const KEPT: usize = 16 * 1024;

fn apply_mask(payload: &mut [u8], mask: [u8; 4]) {
    // Sixteen bytes at a time, which compilers turn into vector instructions.
    let wide = u128::from_ne_bytes(std::array::from_fn(|n| mask[n % 4]));
    let mut chunks = payload.chunks_exact_mut(16);
    for chunk in &mut chunks {
        if let Ok(word) = <[u8; 16]>::try_from(&*chunk) {
            chunk.copy_from_slice(&(u128::from_ne_bytes(word) ^ wide).to_ne_bytes());
        }
    }
    for (byte, key) in chunks.into_remainder().iter_mut().zip(mask.into_iter().cycle()) {
        *byte ^= key;
    }
}

/// Appends a frame that is a whole message or control frame. Clients give a fresh random mask (§5.3).
pub fn encode(opcode: Opcode, payload: &[u8], mask: Option<[u8; 4]>, out: &mut Vec<u8>) {
    encode_fragment(opcode, true, payload, mask, out);
}

/// Appends a frame that may be a piece of a message.
pub fn encode_fragment(opcode: Opcode, fin: bool, payload: &[u8], mask: Option<[u8; 4]>, out: &mut Vec<u8>) {
    out.reserve(payload.len() + 14);
    out.push(opcode.bits() | if fin { 0x80 } else { 0 });
    let bit = if mask.is_some() { 0x80 } else { 0 };
    let len = payload.len() as u64;
    match payload.len() {
        short @ 0..126 => out.push(bit | short as u8),
        126..=0xffff => {
            out.push(bit | 126);
            out.extend_from_slice(&(len as u16).to_be_bytes());
        }
        _ => {
            out.push(bit | 127);
            out.extend_from_slice(&len.to_be_bytes());
        }
    }
    let start = out.len() + if mask.is_some() { 4 } else { 0 };
    out.extend_from_slice(mask.as_ref().map_or(&[][..], |m| m));
    out.extend_from_slice(payload);
    if let Some(mask) = mask {
        apply_mask(&mut out[start..], mask);
    }
}

/// The payload of a close frame; the reason is cut to what a control frame holds, at a character's end.
#[must_use]
pub fn close_payload(code: CloseCode, reason: &str) -> Vec<u8> {
    let mut end = reason.len().min(123);
    while !reason.is_char_boundary(end) {
        end -= 1;
    }
    let mut payload = code.0.to_be_bytes().to_vec();
    payload.extend_from_slice(&reason.as_bytes()[..end]);
    payload
}
