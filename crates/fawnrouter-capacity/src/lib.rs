#![forbid(unsafe_code)]
//! Measures and extrapolates what a fleet of gateways costs: messages, bytes, processor time, memory,
//! connections, delay.
//!
//! | module | what it does |
//! | --- | --- |
//! | [`figures`] | the report: runs, series and points, as stored in `docs/capacity.json` |
//! | [`design`] | the size and the budgets for which the fleet is designed |
//! | [`fit`] | base, slope and residual of a series, and the power by which it grows |
//! | [`delay`] | the delay over several hops, from the measured delay of one hop by convolution |
//! | [`page`] | the tables of `docs/CAPACITY.md` and `docs/capacity-rows.md`, computed from a report |
//! | [`platform`] | what the platform gives a gateway: answers with the list, and configurations |
//! | [`plan`] | plans of calls and faults, drawn from a seed |
//! | [`hollow`] | simulation of hundreds of gateways without sockets, in one process and in virtual time |
//! | [`process`] | testbed of gateway processes on loopback, with stand-ins for their peers |

pub mod delay;
pub mod design;
pub mod figures;
pub mod fit;
pub mod hollow;
pub mod page;
pub mod plan;
pub mod platform;
pub mod process;
