//! Entry daemon: turns network requests and replies into engine events, and executes the actions
//! that the engine returns.

pub mod command;
pub mod listeners;
pub mod process;

mod calls;
mod clock;
mod driver;
mod inbox;
mod labels;
