//! Executor with a configurable number of threads.
//!
//! `smol::spawn` uses a global executor with a single thread unless the environment variable
//! `SMOL_THREADS` is set, so daemons start their own threads.

use std::sync::Arc;
use std::thread;

use futures_lite::future;

/// Shared executor on which servers and clients run their connections.
pub type Executor = Arc<smol::Executor<'static>>;

/// Runs `main` and the tasks that it spawns on `threads` threads, and returns the output of `main`.
///
/// The calling thread counts as one of them; 0 is treated as 1. Tasks that are still running when
/// `main` returns are cancelled when the last handle to the executor is dropped.
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
                // Nothing is ever sent: the channel is closed when `main` has returned.
                let until_closed = executor.run(stopped.recv());
                let _ = future::block_on(until_closed);
            });
        }
        // Dropped when `main` returns or panics, so that the threads exit and the scope can end.
        let _stop = stop;
        smol::block_on(executor.run(main(Arc::clone(&executor))))
    })
}
