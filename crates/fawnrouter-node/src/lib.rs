#![forbid(unsafe_code)]
//! The gateway on the platform as a state machine: JSON lines from clients and core switches in, JSON lines
//! out, around the same [`fawnrouter::Controller`] that the simulator drives. No socket, no clock, no
//! unseeded randomness.
//!
//! | module | what it does |
//! | --- | --- |
//! | `boot` | reads the configuration file and checks all of it before any of it is used |
//! | `switch_list` | the list of core switches from `known` and from DNS responses; numbers for ids |
//! | `list_query` | queries to the name server, and which datagrams answer them |
//! | `reported_calls` | calls that callers report: whether they can still be standing, and how many are kept |
//! | `request` | validates set-ups and reads what they ask for |
//! | `links` | connections to core switches: which one a set-up uses, how many, when to reconnect |
//! | `liveness` | when a core switch's established calls count as ended although it sent no release |
//! | `inbox` | unprocessed messages of a client: which set-ups are withdrawn before they are attempted |
//! | `descriptor_shares` | how the descriptors are divided, before any is used |
//! | `open_call_shares` | how many set-ups one client may have open, and all together |
//! | `memory_shares` | how the memory is divided among what clients can make the gateway hold |
//! | `client_connections` | which client connection is closed, when and why |
//! | `calls` | open and established calls, and what is remembered of ended ones |
//! | `node` | the state machine: inputs, the controller's events and actions, timers |

mod boot;
mod calls;
mod client_connections;
mod descriptor_shares;
mod inbox;
mod link;
mod link_health;
mod links;
mod list_query;
mod liveness;
mod memory_shares;
mod node;
mod open_call_shares;
mod reported_calls;
mod request;
mod switch_list;

pub use boot::{Boot, BootError};
pub use client_connections::ClientId;
pub use descriptor_shares::DescriptorShares;
pub use fawnrouter;
pub use fawnrouter_dns as dns;
pub use fawnrouter_jsonl as jsonl;
pub use inbox::{Inbox, QueuedMessage};
pub use links::LinkId;
pub use list_query::{Ask, AskError, ListQuery};
pub use memory_shares::MemoryShares;
pub use node::{Counters, Input, LinkEnd, Node, NodeSettings, Output};
pub use switch_list::{LIST_DNS_NAME, Pool, PoolError};
