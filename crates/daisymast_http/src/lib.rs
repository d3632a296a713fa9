//! HTTP server and pooled client over hyper and smol.
