#![forbid(unsafe_code)]
//! The gateway on the users' platform as a state machine: their JSON lines in, their JSON lines out, the same
//! [`fawnrouter::Controller`] in the middle that the simulator drives. No socket, no clock, no unseeded randomness.
//!
//! | module | what it does |
//! | --- | --- |
//! | `boot` | the configuration file, checked whole before anything of it is used |
//! | `switch_list` | the list of core switches from `known` and from DNS answers; ids as numbers |
//! | `list_query` | what is asked of the name server, and which datagram is its answer |
//! | `request` | whether a set-up makes sense, and what it says |
//! | `links` | connections to core switches: which set-up on which, how many, when again |
//! | `liveness` | when a core switch's standing calls count as cut though nobody said so |
//! | `inbox` | what a client has sent and nobody has looked at yet: what is given up before it is tried |
//! | `descriptor_shares` | how the descriptors are divided, before any is taken |
//! | `client_connections` | which client's connection is closed, when and why |
//! | `calls` | calls, open and standing, and what is remembered of those that ended |
//! | `node` | inputs, the controller's events and actions, what comes due; a file each for callers, attempts, connections, standing calls, the list |

mod boot;
mod calls;
mod client_connections;
mod descriptor_shares;
mod inbox;
mod links;
mod list_query;
mod liveness;
mod node;
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
pub use node::{Counters, Input, LinkEnd, Node, NodeSettings, Output};
pub use switch_list::{LIST_DNS_NAME, Pool, PoolError};
