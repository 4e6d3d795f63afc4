#![forbid(unsafe_code)]
//! WebSocket without I/O: the HTTP/1.1 head of the upgrade (RFC 9112), the opening handshake of both sides
//! (RFC 6455 §4) with its sub-protocol and Origin, the frames (§5, §7) with their limits, and the Forwarded
//! field (RFC 7239).

mod forwarded;
mod frame;
mod handshake;
mod http;

pub use forwarded::{ForwardedError, forwarded_for};
pub use frame::{
    CloseCode, Event, FrameDecoder, FrameError, Opcode, Role, close_payload, encode_fragment, encode_frame,
};
pub use handshake::{
    AcceptedHandshake, ClientHandshake, HandshakeError, Origins, ServerOptions, accept, refusal_response,
};
pub use http::{Head, HttpError, HttpLimits, RequestLine, StatusLine, parse_request, parse_response};
