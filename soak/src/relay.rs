//! A UDP relay on loopback in front of one entry, for the connections of its peers.

use crate::proxy::{Mode, Way};
use parking_lot::Mutex;
use smol::{Task, Timer, net::UdpSocket};
use std::{collections::HashMap, io, net::SocketAddr, sync::Arc};

/// Largest datagram.
const DATAGRAM: usize = 64 << 10;

/// A running relay. Stops when it is dropped.
#[derive(Debug)]
pub struct Relay {
    /// Where it listens.
    pub address: SocketAddr,
    shared: Arc<Shared>,
    _receiving: Task<()>,
}

#[derive(Debug)]
struct Shared {
    target: SocketAddr,
    front: UdpSocket,
    mode: Mutex<Mode>,
}

/// One peer, as the entry behind the relay sees it.
struct Peer {
    socket: UdpSocket,
    _returning: Task<()>,
}

impl Relay {
    /// Starts a relay to `target`.
    ///
    /// # Errors
    ///
    /// When no port can be bound.
    pub async fn start(target: SocketAddr) -> io::Result<Relay> {
        let front = UdpSocket::bind("127.0.0.1:0").await?;
        let address = front.local_addr()?;
        let shared = Arc::new(Shared { target, front, mode: Mutex::default() });
        let receiving = smol::spawn(receive(shared.clone()));
        Ok(Relay { address, shared, _receiving: receiving })
    }

    /// Changes what becomes of datagrams. What is not let through is lost.
    pub fn set(&self, mode: Mode) {
        *self.shared.mode.lock() = mode;
    }
}

/// Passes on what the peers send.
async fn receive(shared: Arc<Shared>) {
    let mut peers: HashMap<SocketAddr, Peer> = HashMap::new();
    let mut buffer = vec![0; DATAGRAM];
    loop {
        // A peer that is gone is told by an error of the next call, which concerns no other peer.
        let Ok((count, from)) = shared.front.recv_from(&mut buffer).await else { continue };
        let way = shared.mode.lock().there;
        if let std::collections::hash_map::Entry::Vacant(vacant) = peers.entry(from) {
            let Ok(peer) = Peer::new(shared.clone(), from).await else { continue };
            vacant.insert(peer);
        }
        let socket = peers[&from].socket.clone();
        send(way, buffer[..count].to_vec(), socket, shared.target);
    }
}

impl Peer {
    async fn new(shared: Arc<Shared>, peer: SocketAddr) -> io::Result<Peer> {
        let socket = UdpSocket::bind("127.0.0.1:0").await?;
        let returning = smol::spawn(give_back(shared, socket.clone(), peer));
        Ok(Peer { socket, _returning: returning })
    }
}

/// Passes on what the entry sends to one peer.
async fn give_back(shared: Arc<Shared>, socket: UdpSocket, peer: SocketAddr) {
    let mut buffer = vec![0; DATAGRAM];
    loop {
        // As above: an entry that is down.
        let Ok((count, _)) = socket.recv_from(&mut buffer).await else { continue };
        let way = shared.mode.lock().back;
        send(way, buffer[..count].to_vec(), shared.front.clone(), peer);
    }
}

fn send(way: Way, datagram: Vec<u8>, socket: UdpSocket, to: SocketAddr) {
    let delay = match way {
        Way::Open => None,
        Way::Slow(delay) => Some(delay),
        Way::Silent => return,
    };
    let sending = async move {
        if let Some(delay) = delay {
            Timer::after(delay).await;
        }
        // A datagram that can't be sent is lost, as on any network.
        let _ = socket.send_to(&datagram, to).await;
    };
    smol::spawn(sending).detach();
}
