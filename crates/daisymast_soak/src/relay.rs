//! TCP relay that carries the connections to one address, and can delay, silence, cut or reset them.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use daisymast_http::executor;
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use smol::Timer;
use smol::net::{TcpListener, TcpStream};

/// Time between two looks at the mode by a connection that stands still.
const LOOK: Duration = Duration::from_millis(10);
/// Bytes that are carried at once.
const PART: usize = 16 * 1024;

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
    Deaf,
    /// They are closed, and so are new ones.
    Reset,
}

/// A listener that carries connections to a target until it is dropped.
#[derive(Clone, Debug)]
pub struct Relay {
    address: SocketAddr,
    mode: Arc<Mutex<Mode>>,
    _accepting: Arc<smol::Task<()>>,
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
        let (shared, own) = (Arc::clone(&mode), Arc::clone(executor));
        let accepting = executor.spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let mode = Arc::clone(&shared);
                own.spawn(async move {
                    // An error ends the connection, as it would without the relay.
                    drop(carry(stream, target, &mode).await);
                })
                .detach();
            }
        });
        Ok(Self {
            address,
            mode,
            _accepting: Arc::new(accepting),
        })
    }

    /// Address to which callers connect.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets what happens to connections, also to those that are open.
    pub fn set(&self, mode: Mode) {
        *lock(&self.mode) = mode;
    }
}

/// The mode is replaced as a whole, so it is valid after a panic elsewhere.
fn lock(mode: &Mutex<Mode>) -> MutexGuard<'_, Mode> {
    mode.lock().unwrap_or_else(PoisonError::into_inner)
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Direction {
    There,
    Back,
}

async fn carry(caller: TcpStream, target: SocketAddr, mode: &Mutex<Mode>) -> std::io::Result<()> {
    pass(mode, Direction::There).await?;
    let target = TcpStream::connect(target).await?;
    let there = copy(caller.clone(), target.clone(), mode, Direction::There);
    let back = copy(target, caller, mode, Direction::Back);
    let reset = async {
        while *lock(mode) != Mode::Reset {
            Timer::after(LOOK).await;
        }
        Ok(())
    };
    future::or(future::or(there, back), reset).await
}

/// Waits until bytes may pass in a direction.
async fn pass(mode: &Mutex<Mode>, direction: Direction) -> std::io::Result<()> {
    loop {
        let now = *lock(mode);
        match now {
            Mode::Open => return Ok(()),
            Mode::Delayed(time) => {
                Timer::after(time).await;
                return Ok(());
            }
            Mode::Deaf if direction == Direction::There => return Ok(()),
            Mode::Reset => return Err(std::io::ErrorKind::ConnectionReset.into()),
            Mode::Silent | Mode::Deaf => {
                Timer::after(LOOK).await;
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
    let mut part = vec![0; PART];
    loop {
        let bytes = from.read(&mut part).await?;
        if bytes == 0 {
            return Ok(());
        }
        pass(mode, direction).await?;
        to.write_all(&part[..bytes]).await?;
    }
}
