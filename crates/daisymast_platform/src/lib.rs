//! Platform store and instance list: model, client and stand-in daemon.
