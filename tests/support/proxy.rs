//! A TCP proxy that injects faults into connections.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use smol::{
    Task, Timer,
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

const BUFFER_BYTES: usize = 16 * 1024;

/// The faults of one direction.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Fault {
    /// Drops bytes and the end of the connection.
    pub cut: bool,
    /// Delays each read by this time.
    pub delay: Duration,
    /// Closes the connection after this many bytes.
    pub truncate: Option<usize>,
}

/// The faults of a proxy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    /// Faults from the dialer to the target.
    pub forth: Fault,
    /// Faults from the target to the dialer.
    pub back: Fault,
    /// Closes new connections at once.
    pub refuse: bool,
    /// The first this many connections carry nothing, permanently.
    pub frozen: usize,
}

#[derive(Debug, Default)]
struct State {
    faults: Faults,
    opened: usize,
}

/// A proxy to one address; it stops when dropped.
pub struct Proxy {
    address: SocketAddr,
    state: Arc<Mutex<State>>,
    _task: Task<()>,
}

impl Proxy {
    /// Starts a proxy to `to`.
    pub async fn start(to: SocketAddr) -> Self {
        Self::at(([127, 0, 0, 1], 0).into(), to).await
    }

    /// Starts a proxy on `address` to `to`.
    pub async fn at(address: SocketAddr, to: SocketAddr) -> Self {
        let listener = TcpListener::bind(address).await.expect("a free port");
        let address = listener.local_addr().expect("a bound address");
        let state = Arc::<Mutex<State>>::default();
        let _task = smol::spawn(serve(listener, to, Arc::clone(&state)));
        Self { address, state, _task }
    }

    /// The address on which the proxy listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// How many connections were opened so far.
    pub fn opened(&self) -> usize {
        self.state.lock().unwrap().opened
    }

    /// Sets the faults, also for open connections.
    pub fn set(&self, faults: Faults) {
        self.state.lock().unwrap().faults = faults;
    }

    /// Drops all bytes in both directions.
    pub fn cut(&self) {
        let cut = Fault { cut: true, ..Fault::default() };
        self.set(Faults { forth: cut, back: cut, ..Faults::default() });
    }

    /// Makes the connections opened so far silent permanently; new ones work.
    pub fn freeze(&self) {
        let mut state = self.state.lock().unwrap();
        state.faults.frozen = state.opened;
    }

    /// Removes all faults except for frozen connections.
    pub fn heal(&self) {
        let mut state = self.state.lock().unwrap();
        let frozen = state.faults.frozen;
        state.faults = Faults { frozen, ..Faults::default() };
    }
}

async fn serve(listener: TcpListener, to: SocketAddr, state: Arc<Mutex<State>>) {
    let mut tasks = Vec::new();
    while let Ok((dialer, _)) = listener.accept().await {
        let number = {
            let mut state = state.lock().unwrap();
            state.opened += 1;
            if state.faults.refuse {
                continue;
            }
            state.opened
        };
        let Ok(target) = TcpStream::connect(to).await else { continue };
        let _ = (dialer.set_nodelay(true), target.set_nodelay(true));
        let forth =
            forward(dialer.clone(), target.clone(), number, Arc::clone(&state), |all| all.forth);
        let back = forward(target, dialer, number, Arc::clone(&state), |all| all.back);
        tasks.push(smol::spawn(forth));
        tasks.push(smol::spawn(back));
    }
}

async fn forward(
    mut from: TcpStream,
    mut to: TcpStream,
    number: usize,
    state: Arc<Mutex<State>>,
    direction: fn(&Faults) -> Fault,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    let mut forwarded = 0;
    loop {
        let read = from.read(&mut buffer).await.unwrap_or(0);
        let (fault, frozen) = {
            let state = state.lock().unwrap();
            (direction(&state.faults), number <= state.faults.frozen)
        };
        if fault.cut || frozen {
            if read == 0 {
                return std::future::pending().await;
            }
            continue;
        }
        Timer::after(fault.delay).await;
        let allowed =
            fault.truncate.map_or(read, |limit| limit.saturating_sub(forwarded).min(read));
        forwarded += allowed;
        if read == 0 || to.write_all(&buffer[..allowed]).await.is_err() || allowed < read {
            let _ = to.shutdown(std::net::Shutdown::Both);
            let _ = from.shutdown(std::net::Shutdown::Both);
            return;
        }
    }
}
