#![forbid(unsafe_code)]
//! Overload-aware routing decisions for gateways in front of a few shared core servers: which server each
//! call set-up is sent to, and which calls are held or refused. A server is what the packages around this one
//! call a core switch.
//!
//! The library does no input or output. The embedder passes events and the clock's reading to a
//! [`Controller`], and carries out the actions that it returns, in order:
//!
//! ```
//! use fawnrouter::*;
//! use std::time::Duration;
//!
//! let settings = Settings {
//!     gateways: 1,
//!     own_id: PeerId(0),
//!     classes: vec![ClassSettings {
//!         name: "lookup".into(),
//!         aim: Duration::from_secs(2),
//!         deadline: Duration::from_secs(9),
//!         points: 1.0,
//!         late_share: 0.25,
//!         effect: Effect::Safe,
//!         pools: None,
//!     }],
//!     tenants: vec![],
//!     over_share_worth: 1.0,
//!     rules: Rules {
//!         drain_grace: Duration::from_secs(1),
//!         cold_from: 0.3,
//!         cold_time: Duration::from_secs(14),
//!         fall_multiple: 3.0,
//!         fall_time: Duration::from_secs(1),
//!         release_guard: Duration::from_millis(300),
//!         subscribe_within: Duration::from_secs(10),
//!     },
//!     limits: Limits {
//!         max_attempts: 5,
//!         cancel: true,
//!         peers: false,
//!         probes: false,
//!         retry_after: true,
//!         max_retry_after: Duration::from_secs(2),
//!     },
//!     topology: Topology::Pools,
//!     discovery: Discovery::Push,
//!     resend: None,
//!     tick: Duration::from_millis(5),
//! };
//! let mut controller = Controller::new(settings, 7)?;
//! let mut actions = Vec::new();
//! let entries = vec![ServerEntry {
//!     id: ServerId(70),
//!     zone: "north".into(),
//!     cell: Cell(0),
//!     state: ServerState::Ready,
//!     up_since: None,
//! }];
//! let start = Time::from_nanos(1_000);
//! controller.handle(start, Event::List { kind: ListKind::Cached, entries }, &mut actions);
//! let call = NewCall {
//!     id: CallId(1),
//!     class: Some(ClassId(0)),
//!     time_left: Duration::from_secs(3),
//!     number: "line-1".into(),
//!     width: 1.0,
//!     tenant: None,
//!     redialled: false,
//!     transit: false,
//!     destination: Cell(0),
//! };
//! controller.handle(start, Event::Call(call), &mut actions);
//! assert!(actions.iter().any(|a| matches!(a, Action::Issue { server: ServerId(70), .. })));
//! # Ok::<(), SettingsError>(())
//! ```
//!
//! The embedder must carry out every list of actions in full and answer every [`Action::SetTimer`] with an
//! [`Event::Timer`]. The same settings, seed and events give the same actions.

mod call;
mod controller;
mod delay_reports;
mod interface;
mod routing;
mod server;
mod server_list;
mod throttle;

pub use controller::Controller;
pub use interface::*;
