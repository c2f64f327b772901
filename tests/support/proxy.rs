//! A TCP proxy that injects faults between two ends.

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

const BUFFER: usize = 16 * 1024;

/// What happens to bytes of one direction.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Fault {
    /// Bytes vanish, and so does the end of the connection.
    pub cut: bool,
    /// Bytes arrive this much later.
    pub delay: Duration,
    /// The connection is closed after this many bytes.
    pub truncate: Option<usize>,
}

/// The faults of a proxy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    /// From the end that dials.
    pub forth: Fault,
    /// To the end that dials.
    pub back: Fault,
    /// New connections are closed at once.
    pub refuse: bool,
    /// Connections opened before this many others are silent for good.
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

    /// Where the proxy listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// How many connections were opened so far.
    pub fn opened(&self) -> usize {
        self.state.lock().unwrap().opened
    }

    /// Puts faults in force, also on open connections.
    pub fn set(&self, faults: Faults) {
        self.state.lock().unwrap().faults = faults;
    }

    /// Cuts both ways.
    pub fn cut(&self) {
        let cut = Fault { cut: true, ..Fault::default() };
        self.set(Faults { forth: cut, back: cut, ..Faults::default() });
    }

    /// Makes the connections open now silent for good; new ones work.
    pub fn freeze(&self) {
        let mut state = self.state.lock().unwrap();
        state.faults.frozen = state.opened;
    }

    /// Ends all faults but those of connections that froze.
    pub fn heal(&self) {
        let mut state = self.state.lock().unwrap();
        let frozen = state.faults.frozen;
        state.faults = Faults { frozen, ..Faults::default() };
    }
}

async fn serve(listener: TcpListener, to: SocketAddr, state: Arc<Mutex<State>>) {
    let mut copies = Vec::new();
    while let Ok((near, _)) = listener.accept().await {
        let number = {
            let mut state = state.lock().unwrap();
            state.opened += 1;
            if state.faults.refuse {
                continue;
            }
            state.opened
        };
        let Ok(far) = TcpStream::connect(to).await else { continue };
        let _ = (near.set_nodelay(true), far.set_nodelay(true));
        let forth = copy(near.clone(), far.clone(), number, Arc::clone(&state), |all| all.forth);
        let back = copy(far, near, number, Arc::clone(&state), |all| all.back);
        copies.push(smol::spawn(forth));
        copies.push(smol::spawn(back));
    }
}

async fn copy(
    mut from: TcpStream,
    mut to: TcpStream,
    number: usize,
    state: Arc<Mutex<State>>,
    direction: fn(&Faults) -> Fault,
) {
    let mut buffer = vec![0; BUFFER];
    let mut passed = 0;
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
        let left = fault.truncate.map_or(read, |limit| limit.saturating_sub(passed).min(read));
        passed += left;
        if read == 0 || to.write_all(&buffer[..left]).await.is_err() || left < read {
            let _ = to.shutdown(std::net::Shutdown::Both);
            let _ = from.shutdown(std::net::Shutdown::Both);
            return;
        }
    }
}
