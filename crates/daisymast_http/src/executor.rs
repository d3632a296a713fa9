//! Executor threads whose number comes from a setting.
//!
//! `smol::spawn` runs everything on one thread unless the environment says otherwise, so a daemon
//! starts threads of its own.

use std::sync::Arc;
use std::thread;

use futures_lite::future;

/// Shared executor on which servers and clients run their connections.
pub type Executor = Arc<smol::Executor<'static>>;

/// Runs `main` and everything that it spawns on `threads` threads, and returns its output.
///
/// The calling thread is one of them. Tasks that are still running when `main` returns are
/// cancelled once the last handle to the executor is dropped.
///
/// ```
/// use daisymast_http::executor;
/// let sum = executor::run(2, async |executor| executor.spawn(async { 1 + 1 }).await);
/// assert_eq!(sum, 2);
/// ```
pub fn run<T>(threads: usize, main: impl AsyncFnOnce(Executor) -> T) -> T {
    let executor = Executor::default();
    let (stop, stopped) = async_channel::bounded::<()>(1);
    thread::scope(|scope| {
        for _ in 1..threads.max(1) {
            let executor = Arc::clone(&executor);
            let stopped = stopped.clone();
            scope.spawn(move || {
                // The channel is never sent on: it closes when `main` has returned.
                let until_closed = executor.run(stopped.recv());
                let _ = future::block_on(until_closed);
            });
        }
        // Dropped on return and on a panic alike, so that the scope can end.
        let _stop = stop;
        smol::block_on(executor.run(main(Arc::clone(&executor))))
    })
}
