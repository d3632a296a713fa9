//! Worker: model, client and stand-in daemon.
