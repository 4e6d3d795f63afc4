#![forbid(unsafe_code)]
//! Traffic across zones: a policy that the router consults when it selects a server
//! ([`fawnrouter::RoutingPolicy`]). It lets calls spill into other zones when the gateway's own zone is
//! pressed or down and a budget allows it. The crate does no I/O, reads no clock and uses no randomness: the
//! same calls give the same answers.
//!
//! | module | contents |
//! | --- | --- |
//! | `budget` | budgets per period, this gateway's share of them, carry-over |
//! | `account` | spending, refunds, forecasts and the price of a spill |
//! | `grants` | messages by which gateways move unused budget to where the demand is |
//! | `health` | whether the own zone is calm, pressed or down, with hysteresis |
//! | `policy` | the decision itself: the worth of a call in another zone against its cost |
//! | `record` | spilled calls by class, zone and cause, minute by minute |

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
