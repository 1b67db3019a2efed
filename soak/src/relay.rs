//! UDP relay on loopback in front of one entry, for the connections that its peers open to it.

use crate::proxy::{Forwarding, Mode};
use parking_lot::Mutex;
use smol::{Task, Timer, net::UdpSocket};
use std::{collections::HashMap, io, net::SocketAddr, sync::Arc};

/// Largest datagram that is forwarded.
const MAX_DATAGRAM_BYTES: usize = 64 << 10;

/// A running relay. Stops when it is dropped.
#[derive(Debug)]
pub struct Relay {
    /// Address that it listens on.
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

/// The socket that stands for one peer towards the entry.
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

    /// Changes how datagrams are forwarded. Blocked datagrams are lost.
    pub fn set(&self, mode: Mode) {
        *self.shared.mode.lock() = mode;
    }
}

/// Forwards datagrams from the peers to the entry.
async fn receive(shared: Arc<Shared>) {
    let mut peers: HashMap<SocketAddr, Peer> = HashMap::new();
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        // The error of a datagram to a peer that has closed its socket is returned by the next
        // call. It concerns no other peer.
        let Ok((count, from)) = shared.front.recv_from(&mut buffer).await else { continue };
        let forwarding = shared.mode.lock().to_target;
        if let std::collections::hash_map::Entry::Vacant(vacant) = peers.entry(from) {
            let Ok(peer) = Peer::new(shared.clone(), from).await else { continue };
            vacant.insert(peer);
        }
        let socket = peers[&from].socket.clone();
        send(forwarding, buffer[..count].to_vec(), socket, shared.target);
    }
}

impl Peer {
    async fn new(shared: Arc<Shared>, peer: SocketAddr) -> io::Result<Peer> {
        let socket = UdpSocket::bind("127.0.0.1:0").await?;
        let returning = smol::spawn(forward_to_peer(shared, socket.clone(), peer));
        Ok(Peer { socket, _returning: returning })
    }
}

/// Forwards datagrams from the entry to one peer.
async fn forward_to_peer(shared: Arc<Shared>, socket: UdpSocket, peer: SocketAddr) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        // As above, for an entry that is down.
        let Ok((count, _)) = socket.recv_from(&mut buffer).await else { continue };
        let forwarding = shared.mode.lock().from_target;
        send(forwarding, buffer[..count].to_vec(), shared.front.clone(), peer);
    }
}

fn send(forwarding: Forwarding, datagram: Vec<u8>, socket: UdpSocket, to: SocketAddr) {
    let delay = match forwarding {
        Forwarding::Immediate => None,
        Forwarding::Delayed(delay) => Some(delay),
        Forwarding::Blocked => return,
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
