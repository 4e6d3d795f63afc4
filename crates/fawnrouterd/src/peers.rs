//! The connections that are open, and what waits to be written to each.

use std::collections::BTreeMap;
use std::rc::Rc;

use fawnrouter_admission::Conn;
use fawnrouter_engine::ClientId;
use fawnrouter_engine::fawnrouter::ServerId;
use fawnrouter_ws::{CloseCode, Opcode, close_payload, encode};

use crate::outbox::Outbox;

/// A client's connection from its arrival on.
pub struct Peer {
    pub outbox: Rc<Outbox>,
    /// Its client, from the end of the handshake on.
    pub client: Option<ClientId>,
}

/// All connections.
#[derive(Default)]
pub struct Peers {
    conns: BTreeMap<Conn, Peer>,
    clients: BTreeMap<ClientId, (Conn, Rc<Outbox>)>,
    trunks: BTreeMap<ServerId, Rc<Outbox>>,
    next_conn: u64,
    next_client: u64,
}

impl Peers {
    /// A number for a connection, never used again.
    pub fn number(&mut self) -> Conn {
        self.next_conn += 1;
        Conn(self.next_conn)
    }

    pub fn arrived(&mut self, conn: Conn, outbox: Rc<Outbox>) {
        self.conns.insert(conn, Peer { outbox, client: None });
    }

    /// Its handshake is done. A connection that had to make room meanwhile was told so already.
    pub fn shaken(&mut self, conn: Conn, outbox: Rc<Outbox>) -> ClientId {
        self.next_client += 1;
        let id = ClientId(self.next_client);
        if let Some(peer) = self.conns.get_mut(&conn) {
            peer.client = Some(id);
        }
        self.clients.insert(id, (conn, outbox));
        id
    }

    pub fn gone(&mut self, conn: Conn) {
        self.conns.remove(&conn);
    }

    /// Clients' connections, handshakes included.
    pub fn open(&self) -> usize {
        self.conns.len()
    }

    /// Clients' connections whose handshake is done.
    pub fn clients(&self) -> usize {
        self.clients.len()
    }

    pub fn conns(&self) -> impl Iterator<Item = (Conn, &Peer)> {
        self.conns.iter().map(|(conn, peer)| (*conn, peer))
    }

    pub fn client(&self, client: ClientId) -> Option<(Conn, &Rc<Outbox>)> {
        self.clients.get(&client).map(|(conn, outbox)| (*conn, outbox))
    }

    pub fn remove_client(&mut self, client: ClientId) {
        self.clients.remove(&client);
    }

    pub fn trunk(&self, server: ServerId) -> Option<&Rc<Outbox>> {
        self.trunks.get(&server)
    }

    pub fn insert_trunk(&mut self, server: ServerId, outbox: Rc<Outbox>) {
        self.trunks.insert(server, outbox);
    }

    pub fn remove_trunk(&mut self, server: ServerId) -> Option<Rc<Outbox>> {
        self.trunks.remove(&server)
    }

    /// Whether this is still the connection to that switch.
    pub fn is_current(&self, server: ServerId, outbox: &Rc<Outbox>) -> bool {
        self.trunks.get(&server).is_some_and(|current| Rc::ptr_eq(current, outbox))
    }

    /// Closes a connection at whatever stage; it is told why.
    pub fn close(&mut self, conn: Conn, code: CloseCode, reason: &'static str) {
        let Some(peer) = self.conns.remove(&conn) else { return };
        match peer.client {
            Some(_) => goodbye(&peer.outbox, code, reason),
            // Still in its handshake, which tells it by HTTP.
            None => peer.outbox.finish_for(reason),
        }
    }

    /// Closes all connections of clients.
    pub fn close_all(&self, code: CloseCode, reason: &'static str) {
        for (_, outbox) in self.clients.values() {
            goodbye(outbox, code, reason);
        }
        for peer in self.conns.values().filter(|p| p.client.is_none()) {
            peer.outbox.finish_for(reason);
        }
    }

    /// Whether something waits to be written, or a handshake to be told that it comes to nothing.
    pub fn busy(&self) -> bool {
        let mut outboxes = self.clients.values().map(|(_, o)| o).chain(self.trunks.values());
        outboxes.any(|o| o.backlog() > 0) || self.conns.values().any(|p| p.client.is_none())
    }
}

/// Says goodbye to a client, and takes nothing more for it.
pub fn goodbye(outbox: &Outbox, code: CloseCode, reason: &str) {
    let payload = close_payload(code, reason);
    outbox.push(|out| encode(Opcode::Close, &payload, None, out));
    outbox.finish();
}
