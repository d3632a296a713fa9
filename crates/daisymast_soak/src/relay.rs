//! TCP relay that carries the connections to one address, and can delay, silence, cut or reset them.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use daisymast_http::executor;
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use smol::Timer;
use smol::net::{TcpListener, TcpStream};

/// Time between two looks at the mode by a connection that stands still.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Bytes that are carried at once.
const BUFFER_BYTES: usize = 16 * 1024;

/// What happens to connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mode {
    /// They are carried.
    #[default]
    Open,
    /// What is sent takes this time longer.
    Delayed(Duration),
    /// Nothing arrives on either side; new connections hang.
    Silent,
    /// What the target answers does not arrive.
    ResponsesBlocked,
    /// They are closed, and so are new ones.
    Reset,
}

/// A listener that carries connections to a target until it is dropped.
#[derive(Clone, Debug)]
pub struct Relay {
    address: SocketAddr,
    mode: Arc<Mutex<Mode>>,
    _accept_task: Arc<smol::Task<()>>,
}

impl Relay {
    /// Opens a relay to a target.
    ///
    /// # Errors
    /// No port can be bound.
    pub async fn open(executor: &executor::Executor, target: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let mode = Arc::new(Mutex::new(Mode::Open));
        let (shared, connection_executor) = (Arc::clone(&mode), Arc::clone(executor));
        let accept_task = executor.spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let mode = Arc::clone(&shared);
                connection_executor
                    .spawn(async move {
                        // An error ends the connection, as it would without the relay.
                        drop(forward(stream, target, &mode).await);
                    })
                    .detach();
            }
        });
        Ok(Self {
            address,
            mode,
            _accept_task: Arc::new(accept_task),
        })
    }

    /// Address to which callers connect.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets what happens to connections, also to those that are open.
    pub fn set_mode(&self, mode: Mode) {
        *lock(&self.mode) = mode;
    }
}

/// The mode is replaced as a whole, so it is valid after a panic elsewhere.
fn lock(mode: &Mutex<Mode>) -> MutexGuard<'_, Mode> {
    mode.lock().unwrap_or_else(PoisonError::into_inner)
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Direction {
    ToTarget,
    ToCaller,
}

async fn forward(caller: TcpStream, target: SocketAddr, mode: &Mutex<Mode>) -> std::io::Result<()> {
    wait_until_deliverable(mode, Direction::ToTarget).await?;
    let target = TcpStream::connect(target).await?;
    let to_target = copy(caller.clone(), target.clone(), mode, Direction::ToTarget);
    let to_caller = copy(target, caller, mode, Direction::ToCaller);
    let reset = async {
        while *lock(mode) != Mode::Reset {
            Timer::after(POLL_INTERVAL).await;
        }
        Ok(())
    };
    future::or(future::or(to_target, to_caller), reset).await
}

/// Waits until bytes may pass in a direction.
async fn wait_until_deliverable(mode: &Mutex<Mode>, direction: Direction) -> std::io::Result<()> {
    loop {
        let current = *lock(mode);
        match current {
            Mode::Open => return Ok(()),
            Mode::Delayed(time) => {
                Timer::after(time).await;
                return Ok(());
            }
            Mode::ResponsesBlocked if direction == Direction::ToTarget => return Ok(()),
            Mode::Reset => return Err(std::io::ErrorKind::ConnectionReset.into()),
            Mode::Silent | Mode::ResponsesBlocked => {
                Timer::after(POLL_INTERVAL).await;
            }
        }
    }
}

async fn copy(
    mut from: TcpStream,
    mut to: TcpStream,
    mode: &Mutex<Mode>,
    direction: Direction,
) -> std::io::Result<()> {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let bytes = from.read(&mut buffer).await?;
        if bytes == 0 {
            return Ok(());
        }
        wait_until_deliverable(mode, direction).await?;
        to.write_all(&buffer[..bytes]).await?;
    }
}
