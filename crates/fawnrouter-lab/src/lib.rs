#![forbid(unsafe_code)]
//! The lab: runs real gateway processes on loopback sockets between stand-in callers and stand-in core
//! switches, injects faults from a script, and records the traffic for the auditor. Results are those of
//! stand-ins and not of real switches.

mod baseline;
mod callers;
mod day;
mod demo;
mod fleet;
mod flood;
mod load;
mod plan;
mod report;
mod script;
mod stand_in;
mod switch;
mod tap;

pub use baseline::RoundRobin;
pub use day::{DayOptions, run_day};
pub use demo::{DemoOptions, run_demo};
pub use fleet::gateway_main;
pub use flood::{FloodFigures, FloodOptions, flood_main};
pub use load::{LoadOptions, relay_main, run_load, run_memory};
pub use report::{ClassReport, Report, WindowReport, Worth};
pub use script::{Fault, FloodKind, Script};
pub use switch::{Processor, SwitchEffect, SwitchModel};
