#![forbid(unsafe_code)]
//! Which connections get in when too many knock. No socket, no clock, no unseeded randomness: each call gets the
//! time since the embedder's origin, and the same calls give the same answers.
//!
//! | module | what it decides |
//! | --- | --- |
//! | `admission` | accepts, or refuses with a reason and a time to stay away; who is closed to make room |
//! | `limiter` | rates by address in bounded memory, which forgets nobody who is over the rate |
//! | `fair` | whose set-up is next, so that one client's burst does not hold up the others |
//! | `reserve` | how much of the room only known clients may use |

mod admission;
mod fair;
mod limiter;
mod reserve;

pub use admission::{
    Admission, AdmissionSettings, Arrival, Conn, Holding, Prefixes, Reason, SettingsError, Snapshot, Verdict,
};
pub use fair::{Fair, FairSettings, Turned};
pub use limiter::{Limiter, Rate};
pub use reserve::{Reserve, ReserveSettings};
