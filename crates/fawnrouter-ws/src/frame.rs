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

    const fn from_bits(bits: u8) -> Option<Self> {
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
    pub const GOING_AWAY: Self = Self(1001);
    /// The peer broke the protocol.
    pub const PROTOCOL_ERROR: Self = Self(1002);
    /// Data of a type that is not accepted.
    pub const UNSUPPORTED_DATA: Self = Self(1003);
    /// Text that is not UTF-8.
    pub const INVALID_PAYLOAD: Self = Self(1007);
    /// The peer broke a policy.
    pub const POLICY_VIOLATION: Self = Self(1008);
    /// A message too large.
    pub const MESSAGE_TOO_BIG: Self = Self(1009);
    /// Try again later (IANA registry of close codes).
    pub const TRY_AGAIN_LATER: Self = Self(1013);

    /// Whether a peer may send it (§7.4.1, §7.4.2).
    #[must_use]
    pub const fn is_allowed_on_wire(self) -> bool {
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
            Self::TooLarge(_) => CloseCode::MESSAGE_TOO_BIG,
            Self::NotUtf8 => CloseCode::INVALID_PAYLOAD,
            _ => CloseCode::PROTOCOL_ERROR,
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

/// The longest header: two bytes, eight of length, four of mask.
const MAX_HEADER_BYTES: usize = 14;
/// A message buffer larger than this is given back once it is empty: an idle connection holds little.
const MAX_IDLE_BUFFER_BYTES: usize = 16 * 1024;

/// A frame whose payload is coming in.
#[derive(Clone, Copy, Debug)]
struct Frame {
    fin: bool,
    opcode: Opcode,
    mask: [u8; 4],
    /// Bytes of the payload so far.
    received: usize,
    len: usize,
}

/// Cuts a stream into messages. It holds one message and one control frame at the most, within the limit, and copies
/// each byte once, taking the mask off on the way.
#[derive(Debug)]
pub struct FrameDecoder {
    role: Role,
    limit: usize,
    header: [u8; MAX_HEADER_BYTES],
    header_len: usize,
    frame: Option<Frame>,
    /// The kind of the message that is coming in, if it comes in pieces.
    fragmented: Option<Opcode>,
    message: Vec<u8>,
    control: Vec<u8>,
    /// `message` has been given out.
    message_delivered: bool,
    closed: bool,
}

impl FrameDecoder {
    /// A decoder for what `role` receives, with a limit in bytes on a message and on each of its frames.
    #[must_use]
    pub fn new(role: Role, limit: usize) -> Self {
        Self {
            role,
            limit,
            header: [0; MAX_HEADER_BYTES],
            header_len: 0,
            frame: None,
            fragmented: None,
            message: Vec::new(),
            control: Vec::new(),
            message_delivered: false,
            closed: false,
        }
    }

    /// Bytes of a message that is not whole yet.
    #[must_use]
    pub fn buffered_bytes(&self) -> usize {
        if self.message_delivered { self.control.len() } else { self.message.len() + self.control.len() }
    }

    /// Takes bytes from the front of `input` up to the end of the next message or control frame. `None` means that
    /// all of it was taken, or that the connection has been closed.
    ///
    /// # Errors
    /// The connection is to be failed; nothing can be read after it.
    pub fn feed(&mut self, input: &mut &[u8]) -> Result<Option<Event<'_>>, FrameError> {
        if std::mem::take(&mut self.message_delivered) {
            self.message.clear();
            if self.message.capacity() > MAX_IDLE_BUFFER_BYTES && input.len() <= MAX_IDLE_BUFFER_BYTES {
                self.message = Vec::new();
            }
        }
        loop {
            if self.closed {
                *input = &[];
                return Ok(None);
            }
            let mut frame = match self.frame {
                Some(frame) => frame,
                None => match self.collect_header(input)? {
                    Some(frame) => frame,
                    None => return Ok(None),
                },
            };
            let (payload, rest) = input.split_at(input.len().min(frame.len - frame.received));
            let is_control = frame.opcode.bits() >= 8;
            let target = if is_control { &mut self.control } else { &mut self.message };
            if frame.received == 0 && is_control {
                target.clear();
            }
            extend_unmasked(target, payload, frame.mask, frame.received);
            frame.received += payload.len();
            *input = rest;
            if frame.received < frame.len {
                self.frame = Some(frame);
                return Ok(None);
            }
            self.frame = None;
            if is_control {
                return self.control_event(frame.opcode).map(Some);
            }
            let kind = self.fragmented.take().unwrap_or(frame.opcode);
            if frame.fin {
                self.message_delivered = true;
                return message_event(kind, &self.message).map(Some);
            }
            self.fragmented = Some(kind);
        }
    }

    /// Collects a header and judges it as soon as its first two bytes are there.
    fn collect_header(&mut self, input: &mut &[u8]) -> Result<Option<Frame>, FrameError> {
        // Mostly a header lies in one piece.
        if self.header_len == 0
            && let Some(whole) = input.first_chunk::<MAX_HEADER_BYTES>()
        {
            self.header = *whole;
            let (opcode, wanted) = self.parse_header_start()?;
            *input = &input[wanted..];
            return self.parse_header(opcode, wanted).map(Some);
        }
        loop {
            let wanted = if self.header_len < 2 { 2 } else { self.parse_header_start()?.1 };
            if self.header_len >= 2 && self.header_len == wanted {
                let (opcode, _) = self.parse_header_start()?;
                self.header_len = 0;
                return self.parse_header(opcode, wanted).map(Some);
            }
            let (part, rest) = input.split_at(input.len().min(wanted - self.header_len));
            if part.is_empty() {
                return Ok(None);
            }
            self.header[self.header_len..self.header_len + part.len()].copy_from_slice(part);
            self.header_len += part.len();
            *input = rest;
        }
    }

    /// What the first two bytes say: the opcode, and how long the header is.
    #[inline]
    fn parse_header_start(&self) -> Result<(Opcode, usize), FrameError> {
        let [first, second, ..] = self.header;
        let opcode =
            Opcode::from_bits(first & 0x0f).filter(|_| first & 0x70 == 0).ok_or(FrameError::Reserved)?;
        if (second & 0x80 != 0) != (self.role == Role::Server) {
            return Err(FrameError::Mask);
        }
        let fin = first & 0x80 != 0;
        let length = match second & 0x7f {
            126 => 2,
            127 => 8,
            _ => 0,
        };
        let size = 2 + length + if second & 0x80 != 0 { 4 } else { 0 };
        match opcode {
            Opcode::Close | Opcode::Ping | Opcode::Pong if !fin || second & 0x7f > 125 => {
                Err(FrameError::Control)
            }
            Opcode::Continuation if self.fragmented.is_none() => Err(FrameError::Sequence),
            Opcode::Text | Opcode::Binary if self.fragmented.is_some() => Err(FrameError::Sequence),
            _ => Ok((opcode, size)),
        }
    }

    #[inline]
    fn parse_header(&self, opcode: Opcode, size: usize) -> Result<Frame, FrameError> {
        let header = &self.header[..size];
        let (len, rest) = match (header[1] & 0x7f, &header[2..]) {
            (126, [a, b, rest @ ..]) => {
                let len = u16::from_be_bytes([*a, *b]);
                if len < 126 {
                    return Err(FrameError::Length);
                }
                (usize::from(len), rest)
            }
            (127, [a, b, c, d, e, f, g, h, rest @ ..]) => {
                let len = u64::from_be_bytes([*a, *b, *c, *d, *e, *f, *g, *h]);
                if len <= 0xffff || len >> 63 != 0 {
                    return Err(FrameError::Length);
                }
                (usize::try_from(len).map_err(|_| FrameError::TooLarge(self.limit))?, rest)
            }
            (short, rest) => (usize::from(short), rest),
        };
        let joined = if opcode == Opcode::Continuation { self.message.len() } else { 0 };
        if len.saturating_add(joined) > self.limit && opcode.bits() < 8 {
            return Err(FrameError::TooLarge(self.limit));
        }
        // A plain frame is one whose mask changes nothing.
        let mask = <[u8; 4]>::try_from(rest).unwrap_or_default();
        Ok(Frame { fin: self.header[0] & 0x80 != 0, opcode, mask, received: 0, len })
    }

    fn control_event(&mut self, opcode: Opcode) -> Result<Event<'_>, FrameError> {
        match opcode {
            Opcode::Ping => Ok(Event::Ping(&self.control)),
            Opcode::Pong => Ok(Event::Pong(&self.control)),
            _ => {
                self.closed = true;
                let [a, b, reason @ ..] = self.control.as_slice() else {
                    return if self.control.is_empty() {
                        Ok(Event::Close(None))
                    } else {
                        Err(FrameError::Close)
                    };
                };
                let code = CloseCode(u16::from_be_bytes([*a, *b]));
                if !code.is_allowed_on_wire() {
                    return Err(FrameError::Close);
                }
                simdutf8::basic::from_utf8(reason).map_err(|_| FrameError::NotUtf8)?;
                Ok(Event::Close(Some(code)))
            }
        }
    }
}

fn message_event(kind: Opcode, message: &[u8]) -> Result<Event<'_>, FrameError> {
    if kind == Opcode::Binary {
        return Ok(Event::Binary(message));
    }
    simdutf8::basic::from_utf8(message).map(Event::Text).map_err(|_| FrameError::NotUtf8)
}

/// Appends a payload without its mask, whose bytes before it were `seen`.
fn extend_unmasked(target: &mut Vec<u8>, payload: &[u8], mask: [u8; 4], seen: usize) {
    if mask == [0; 4] {
        return target.extend_from_slice(payload);
    }
    let start = target.len();
    target.resize(start + payload.len(), 0);
    // Sixteen bytes at a time, which compilers turn into vector instructions.
    let word = u32::from_le_bytes(mask).rotate_right(8 * (seen as u32 % 4));
    let wide = u128::from(word) * 0x0000_0001_0000_0001_0000_0001_0000_0001;
    let (from, from_rest) = payload.as_chunks::<16>();
    let (to, to_rest) = target[start..].as_chunks_mut::<16>();
    for (to, from) in to.iter_mut().zip(from) {
        *to = (u128::from_le_bytes(*from) ^ wide).to_le_bytes();
    }
    for ((to, from), key) in to_rest.iter_mut().zip(from_rest).zip(word.to_le_bytes().into_iter().cycle()) {
        *to = from ^ key;
    }
}

/// Appends a frame that is a whole message or control frame. Clients give a fresh random mask (§5.3).
pub fn encode_frame(opcode: Opcode, payload: &[u8], mask: Option<[u8; 4]>, out: &mut Vec<u8>) {
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
    match mask {
        Some(mask) => {
            out.extend_from_slice(&mask);
            extend_unmasked(out, payload, mask, 0);
        }
        None => out.extend_from_slice(payload),
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
