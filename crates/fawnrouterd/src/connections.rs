//! The connections that are open, and what waits to be written to each.

use std::collections::BTreeMap;
use std::rc::Rc;

use fawnrouter_admission::ConnectionId;
use fawnrouter_engine::ClientId;
use fawnrouter_engine::fawnrouter::ServerId;
use fawnrouter_ws::{CloseCode, Opcode, close_payload, encode_frame};

use crate::outbox::Outbox;

/// A client's connection from its arrival on.
pub struct ClientConnection {
    pub outbox: Rc<Outbox>,
    /// Its client, from the end of the handshake on.
    pub client: Option<ClientId>,
}

/// All connections.
#[derive(Default)]
pub struct Connections {
    /// Clients' connections from their arrival on.
    accepted: BTreeMap<ConnectionId, ClientConnection>,
    /// Of these, those whose handshake is done.
    clients: BTreeMap<ClientId, (ConnectionId, Rc<Outbox>)>,
    /// Connections to switches.
    trunks: BTreeMap<ServerId, Rc<Outbox>>,
    next_conn: u64,
    next_client: u64,
}

impl Connections {
    /// A number for a connection, never used again.
    pub fn number(&mut self) -> ConnectionId {
        self.next_conn += 1;
        ConnectionId(self.next_conn)
    }

    pub fn arrived(&mut self, conn: ConnectionId, outbox: Rc<Outbox>) {
        self.accepted.insert(conn, ClientConnection { outbox, client: None });
    }

    /// Its handshake is done. A connection that had to make room meanwhile was told so already.
    pub fn shaken(&mut self, conn: ConnectionId, outbox: Rc<Outbox>) -> ClientId {
        self.next_client += 1;
        let id = ClientId(self.next_client);
        if let Some(connection) = self.accepted.get_mut(&conn) {
            connection.client = Some(id);
        }
        self.clients.insert(id, (conn, outbox));
        id
    }

    pub fn gone(&mut self, conn: ConnectionId) {
        self.accepted.remove(&conn);
    }

    /// Clients' connections, handshakes included.
    pub fn open(&self) -> usize {
        self.accepted.len()
    }

    /// Clients' connections whose handshake is done.
    pub fn clients(&self) -> usize {
        self.clients.len()
    }

    pub fn iter(&self) -> impl Iterator<Item = (ConnectionId, &ClientConnection)> {
        self.accepted.iter().map(|(conn, connection)| (*conn, connection))
    }

    pub fn client(&self, client: ClientId) -> Option<(ConnectionId, &Rc<Outbox>)> {
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
    pub fn close(&mut self, conn: ConnectionId, code: CloseCode, reason: &'static str) {
        let Some(connection) = self.accepted.remove(&conn) else { return };
        match connection.client {
            Some(_) => goodbye(&connection.outbox, code, reason),
            // Still in its handshake, which tells it by HTTP.
            None => connection.outbox.finish_with_reason(reason),
        }
    }

    /// Closes all connections of clients.
    pub fn close_all(&self, code: CloseCode, reason: &'static str) {
        for (_, outbox) in self.clients.values() {
            goodbye(outbox, code, reason);
        }
        for connection in self.accepted.values().filter(|c| c.client.is_none()) {
            connection.outbox.finish_with_reason(reason);
        }
    }

    /// Whether something waits to be written, or a handshake to be told that it comes to nothing.
    pub fn busy(&self) -> bool {
        let mut outboxes = self.clients.values().map(|(_, o)| o).chain(self.trunks.values());
        outboxes.any(|o| o.backlog() > 0) || self.accepted.values().any(|c| c.client.is_none())
    }
}

/// Says goodbye to a client, and takes nothing more for it.
pub fn goodbye(outbox: &Outbox, code: CloseCode, reason: &str) {
    let payload = close_payload(code, reason);
    outbox.push(|out| encode_frame(Opcode::Close, &payload, None, out));
    outbox.finish();
}
