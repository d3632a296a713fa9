//! Entry daemon: carries events and actions between the network and the engine.

pub mod command;
pub mod listeners;
pub mod process;

mod calls;
mod clock;
mod driver;
mod inbox;
mod labels;
