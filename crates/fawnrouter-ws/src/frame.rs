//! Frames and messages (RFC 6455 §5 to §8).

/// The side that receives: clients mask their frames, servers do not (§5.1).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Receives masked frames.
    Server,
    /// Receives unmasked frames.
    Client,
}

/// The opcode of a frame (§5.2).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Opcode {
    /// A further fragment of a message.
    Continuation,
    /// A text message or its first fragment.
    Text,
    /// A binary message or its first fragment.
    Binary,
    /// Closes the connection.
    Close,
    /// Checks whether the peer is alive; answered with a pong.
    Ping,
    /// The answer to a ping.
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

/// The status code of a close frame (§7.4).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CloseCode(pub u16);

impl CloseCode {
    /// The connection has served its purpose.
    pub const NORMAL: Self = Self(1000);
    /// The endpoint is going away.
    pub const GOING_AWAY: Self = Self(1001);
    /// The peer violated the protocol.
    pub const PROTOCOL_ERROR: Self = Self(1002);
    /// Data of a type that is not accepted.
    pub const UNSUPPORTED_DATA: Self = Self(1003);
    /// Text is not UTF-8.
    pub const INVALID_PAYLOAD: Self = Self(1007);
    /// The peer violated a policy.
    pub const POLICY_VIOLATION: Self = Self(1008);
    /// A message is too large.
    pub const MESSAGE_TOO_BIG: Self = Self(1009);
    /// Try again later (IANA registry of close codes).
    pub const TRY_AGAIN_LATER: Self = Self(1013);

    /// Whether the code may be sent in a close frame (§7.4.1, §7.4.2).
    #[must_use]
    pub const fn is_allowed_on_wire(self) -> bool {
        matches!(self.0, 1000..=1003 | 1007..=1014 | 3000..=4999)
    }
}

/// Why a connection must be failed (§7.1.7); see [`Self::close_code`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum FrameError {
    /// A reserved bit without an extension that defines it, or an undefined opcode.
    #[error("a reserved bit or opcode is used")]
    Reserved,
    /// A client's frame is not masked, or a server's frame is.
    #[error("a frame is masked the wrong way")]
    Mask,
    /// A control frame is longer than 125 bytes or fragmented (§5.5).
    #[error("a control frame is in pieces or too long")]
    Control,
    /// A length is not in its shortest form, or has its top bit set.
    #[error("a frame's length is badly written")]
    Length,
    /// A continuation without a message to continue, or a new message within another (§5.4).
    #[error("a frame is out of sequence")]
    Sequence,
    /// A frame or message exceeds the limit.
    #[error("a message is over the limit of {0} bytes")]
    TooLarge(usize),
    /// Text, or the reason in a close frame, is not UTF-8.
    #[error("text is not UTF-8")]
    NotUtf8,
    /// A close frame has a payload of one byte, or a code that may not be sent.
    #[error("a close frame is badly written")]
    Close,
}

impl FrameError {
    /// The code to close the connection with.
    #[must_use]
    pub const fn close_code(self) -> CloseCode {
        match self {
            Self::TooLarge(_) => CloseCode::MESSAGE_TOO_BIG,
            Self::NotUtf8 => CloseCode::INVALID_PAYLOAD,
            _ => CloseCode::PROTOCOL_ERROR,
        }
    }
}

/// A message or control frame from the peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event<'a> {
    /// A complete text message.
    Text(&'a str),
    /// A complete binary message.
    Binary(&'a [u8]),
    /// A ping, to be answered with a pong of the same bytes.
    Ping(&'a [u8]),
    /// An answer to a ping, or an unsolicited pong.
    Pong(&'a [u8]),
    /// The end of the stream, to be answered with a close frame of the same code if none has been sent.
    Close(Option<CloseCode>),
}

/// The longest header of a frame: two bytes, eight of length, four of mask.
const MAX_HEADER_BYTES: usize = 14;
/// The longest payload of a control frame (§5.5).
const MAX_CONTROL_BYTES: usize = 125;
/// The longest reason in a close frame: what a control frame holds less two bytes of the code.
const MAX_CLOSE_REASON_BYTES: usize = MAX_CONTROL_BYTES - 2;
/// A larger message buffer is freed once it is empty, to keep the memory of idle connections small.
const MAX_IDLE_BUFFER_BYTES: usize = 16 * 1024;

/// A frame whose payload is being received.
#[derive(Clone, Copy, Debug)]
struct Frame {
    fin: bool,
    opcode: Opcode,
    mask: [u8; 4],
    /// Payload bytes received so far.
    received: usize,
    len: usize,
}

/// Splits a stream into messages and control frames. It buffers at most one message, within the limit, and
/// one control frame, and copies each byte once while removing the mask.
#[derive(Debug)]
pub struct FrameDecoder {
    role: Role,
    limit: usize,
    header: [u8; MAX_HEADER_BYTES],
    header_len: usize,
    frame: Option<Frame>,
    /// The type of the fragmented message that is being received.
    fragmented: Option<Opcode>,
    message: Vec<u8>,
    control: Vec<u8>,
    /// `message` has been returned, and is cleared with the next call.
    message_delivered: bool,
    closed: bool,
}

impl FrameDecoder {
    /// Creates a decoder for the frames that `role` receives, with a limit in bytes on a message and on each
    /// of its frames.
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

    /// Bytes that are buffered for an incomplete message or control frame.
    #[must_use]
    pub fn buffered_bytes(&self) -> usize {
        if self.message_delivered { self.control.len() } else { self.message.len() + self.control.len() }
    }

    /// Consumes bytes from the front of `input` up to the end of the next message or control frame. `None`
    /// means that all of `input` was consumed and more is needed, or that the peer has sent a close frame.
    ///
    /// # Errors
    /// The connection must be failed; nothing can be decoded after an error.
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

    /// Collects a header, which is checked as soon as its first two bytes have arrived.
    fn collect_header(&mut self, input: &mut &[u8]) -> Result<Option<Frame>, FrameError> {
        // Fast path: usually the whole header is in `input`.
        if self.header_len == 0
            && let Some(whole) = input.first_chunk::<MAX_HEADER_BYTES>()
        {
            self.header = *whole;
            let (opcode, header_size) = self.parse_header_start()?;
            *input = &input[header_size..];
            return self.parse_header(opcode, header_size).map(Some);
        }
        loop {
            let header_size = if self.header_len < 2 { 2 } else { self.parse_header_start()?.1 };
            if self.header_len >= 2 && self.header_len == header_size {
                let (opcode, _) = self.parse_header_start()?;
                self.header_len = 0;
                return self.parse_header(opcode, header_size).map(Some);
            }
            let (part, rest) = input.split_at(input.len().min(header_size - self.header_len));
            if part.is_empty() {
                return Ok(None);
            }
            self.header[self.header_len..self.header_len + part.len()].copy_from_slice(part);
            self.header_len += part.len();
            *input = rest;
        }
    }

    /// Checks the first two bytes, and returns the opcode and the length of the header.
    #[inline]
    fn parse_header_start(&self) -> Result<(Opcode, usize), FrameError> {
        let [first, second, ..] = self.header;
        let opcode =
            Opcode::from_bits(first & 0x0f).filter(|_| first & 0x70 == 0).ok_or(FrameError::Reserved)?;
        if (second & 0x80 != 0) != (self.role == Role::Server) {
            return Err(FrameError::Mask);
        }
        let fin = first & 0x80 != 0;
        let length_size = match second & 0x7f {
            126 => 2,
            127 => 8,
            _ => 0,
        };
        let header_size = 2 + length_size + if second & 0x80 != 0 { 4 } else { 0 };
        match opcode {
            Opcode::Close | Opcode::Ping | Opcode::Pong
                if !fin || usize::from(second & 0x7f) > MAX_CONTROL_BYTES =>
            {
                Err(FrameError::Control)
            }
            Opcode::Continuation if self.fragmented.is_none() => Err(FrameError::Sequence),
            Opcode::Text | Opcode::Binary if self.fragmented.is_some() => Err(FrameError::Sequence),
            _ => Ok((opcode, header_size)),
        }
    }

    /// Parses a complete header of this length.
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
        let buffered = if opcode == Opcode::Continuation { self.message.len() } else { 0 };
        if len.saturating_add(buffered) > self.limit && opcode.bits() < 8 {
            return Err(FrameError::TooLarge(self.limit));
        }
        // An unmasked frame gets the zero mask, which changes nothing.
        let mask = <[u8; 4]>::try_from(rest).unwrap_or_default();
        Ok(Frame { fin: self.header[0] & 0x80 != 0, opcode, mask, received: 0, len })
    }

    /// Converts the complete control frame to an event.
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

/// Converts a complete message to an event.
fn message_event(kind: Opcode, message: &[u8]) -> Result<Event<'_>, FrameError> {
    if kind == Opcode::Binary {
        return Ok(Event::Binary(message));
    }
    simdutf8::basic::from_utf8(message).map(Event::Text).map_err(|_| FrameError::NotUtf8)
}

/// Unmasks a part of a payload and appends it; `offset` bytes of the payload came before it.
fn extend_unmasked(target: &mut Vec<u8>, payload: &[u8], mask: [u8; 4], offset: usize) {
    if mask == [0; 4] {
        return target.extend_from_slice(payload);
    }
    let start = target.len();
    target.resize(start + payload.len(), 0);
    // Sixteen bytes at a time: the compiler generates vector instructions for this.
    let word = u32::from_le_bytes(mask).rotate_right(8 * (offset as u32 % 4));
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

/// Appends a complete message or control frame. Clients pass a fresh random mask (§5.3).
pub fn encode_frame(opcode: Opcode, payload: &[u8], mask: Option<[u8; 4]>, out: &mut Vec<u8>) {
    encode_fragment(opcode, true, payload, mask, out);
}

/// Appends a frame that may be a fragment of a message; `fin` marks the last one.
pub fn encode_fragment(opcode: Opcode, fin: bool, payload: &[u8], mask: Option<[u8; 4]>, out: &mut Vec<u8>) {
    out.reserve(payload.len() + 14);
    out.push(opcode.bits() | if fin { 0x80 } else { 0 });
    let mask_bit = if mask.is_some() { 0x80 } else { 0 };
    let len = payload.len() as u64;
    match payload.len() {
        short @ 0..126 => out.push(mask_bit | short as u8),
        126..=0xffff => {
            out.push(mask_bit | 126);
            out.extend_from_slice(&(len as u16).to_be_bytes());
        }
        _ => {
            out.push(mask_bit | 127);
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

/// The payload of a close frame. A reason that is too long for a control frame is truncated at a character
/// boundary.
#[must_use]
pub fn close_payload(code: CloseCode, reason: &str) -> Vec<u8> {
    let mut end = reason.len().min(MAX_CLOSE_REASON_BYTES);
    while !reason.is_char_boundary(end) {
        end -= 1;
    }
    let mut payload = code.0.to_be_bytes().to_vec();
    payload.extend_from_slice(&reason.as_bytes()[..end]);
    payload
}
