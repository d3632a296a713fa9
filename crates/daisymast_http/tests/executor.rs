//! Executor threads.

use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use daisymast_http::executor;

/// Guards against a number of threads that has no effect: the second task has to run while the
/// first one blocks its thread.
#[test]
fn tasks_run_on_several_threads() {
    let (sender, receiver) = mpsc::channel();
    executor::run(2, async |executor| {
        let blocking =
            executor.spawn(async move { receiver.recv_timeout(Duration::from_secs(20)) });
        let sending = executor.spawn(async move { sender.send(thread::current().id()) });
        assert!(blocking.await.is_ok());
        assert!(sending.await.is_ok());
    });
}

/// Guards against executor threads that keep a process alive after its main task has returned or
/// panicked.
#[test]
fn threads_exit_when_main_returns_or_panics() {
    assert_eq!(executor::run(4, async |_| 7), 7);
    assert_eq!(executor::run(0, async |_| 8), 8);
    let panicked =
        thread::spawn(|| executor::run(4, async |_| panic!("panic of the main task"))).join();
    assert!(panicked.is_err());
}
