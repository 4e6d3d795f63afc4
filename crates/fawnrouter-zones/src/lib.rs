#![forbid(unsafe_code)]
//! Traffic across zones: a voice in the choice of server ([`fawnrouter::RoutingPolicy`]) that lets calls spill into
//! other zones when their own is pressed or down and a budget allows it. No I/O, no clock, no randomness but a seed: the
//! same calls give the same answers.
//!
//! | module | what it decides or keeps |
//! | --- | --- |
//! | `budget` | what may be spent in a window, this gateway's share of it, carry-over |
//! | `account` | what was spent, refunds, forecasts, the price of a spill |
//! | `grants` | shares that follow demand, where gateways may talk |
//! | `health` | whether the own zone is calm, pressed or down, with hysteresis |
//! | `policy` | the voice: what a call is worth there against what it costs |
//! | `record` | what spilled, by class, zone and cause, minute by minute |

mod account;
mod budget;
mod grants;
mod health;
mod policy;
mod record;

pub use account::{Account, BudgetExhausted, BudgetState, BudgetView, Charge, SavedAccount};
pub use budget::{Budget, BudgetError, BudgetPeriod, Limit, Money, gateway_share};
pub use grants::GrantMessage;
pub use health::{Health, HealthSettings, ZoneState};
pub use policy::{SharedZonePolicy, ZoneCost, ZonePolicy, ZoneSettings};
pub use record::{SpillCause, SpillKey, SpillMinute, SpillRecord, SpillTotal};
