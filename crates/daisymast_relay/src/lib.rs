//! Relaying of the scheduler's calls to workers through other nodes.
//!
//! On a large fleet, the scheduler's node could not make all calls to workers itself. The leader
//! collects them and sends them in batches to other nodes, the relays, which make the calls and
//! return the outcomes in batches. [`table`] decides which relay serves which worker, [`link`] is
//! the leader's side of the exchange with one relay, [`session`] is the relay's side, [`wire`] defines
//! the messages, and [`direct`] holds the calls that the leader makes itself.
//!
//! A relay decides nothing about runs. Each order carries a fencing token and a lease deadline on the
//! worker's clock, both set by the scheduler. The deadline bounds an order only in the process whose
//! clock it refers to, so calls also expire: a relay makes none that is older than the leader allows.

pub mod constants;
pub mod direct;
mod encoding;
pub mod link;
pub mod relays;
pub mod session;
pub mod table;
pub mod wire;
