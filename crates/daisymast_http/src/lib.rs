//! HTTP server and pooled client over hyper and smol.
//!
//! ```
//! use std::time::Duration;
//!
//! use daisymast_http::{client, executor, json, server};
//!
//! executor::run(1, async |executor| {
//!     let listener = smol::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
//!     let limits = server::Limits::default().with_body_bytes(1_024);
//!     let server = server::Server::start(&executor, listener, limits, async |request| {
//!         match json::decode_request::<u32>(&request.body) {
//!             Ok(number) => json::encode_response(&(number + 1)),
//!             Err(rejection) => rejection,
//!         }
//!     })
//!     .unwrap();
//!     let client = client::Client::new(executor.clone(), client::Settings::default());
//!     let call = client::Call::new(server.address(), "/v1/next", Duration::from_secs(5))
//!         .with_error_context("next number", "example server");
//!     assert_eq!(json::post::<u32, u32>(&client, &call, &41).await.done(), Some(42));
//!     server.shutdown().await;
//! });
//! ```

pub mod auth;
pub mod client;
pub mod executor;
pub mod json;
pub mod msgpack;
pub mod server;
