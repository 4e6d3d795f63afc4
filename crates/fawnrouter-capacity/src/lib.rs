#![forbid(unsafe_code)]
//! What a fleet of gateways costs, measured and extrapolated.
//!
//! | module | what it does |
//! | --- | --- |
//! | [`figures`] | the typed report: runs, series and points, as stored in `docs/capacity.json` |
//! | [`design`] | the size and the budgets that the fleet is designed for |
//! | [`fit`] | base, slope and residual of a series; the power by which it grows |
//! | [`delay`] | the delay of several hops from the measured delay of one, by convolution |
//! | [`page`] | the tables of `docs/CAPACITY.md`, computed from a report |
//! | [`platform`] | the users' platform around a gateway, as bytes: list answers and configurations |
//! | [`plan`] | calls and faults, drawn from a seed |
//! | [`hollow`] | hundreds of gateways without sockets in one process, in virtual time |
//! | [`process`] | gateway processes on loopback between stand-ins |

pub mod delay;
pub mod design;
pub mod figures;
pub mod fit;
pub mod hollow;
pub mod page;
pub mod plan;
pub mod platform;
pub mod process;
