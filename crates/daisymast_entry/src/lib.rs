//! Entry daemon: carries events and actions between the network and the engine.
