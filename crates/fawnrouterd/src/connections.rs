//! The open connections with their outboxes.

use std::collections::BTreeMap;
use std::rc::Rc;

use fawnrouter_admission::ConnectionId;
use fawnrouter_engine::ClientId;
use fawnrouter_engine::fawnrouter::ServerId;
use fawnrouter_ws::{CloseCode, Opcode, close_payload, encode_frame};

use crate::outbox::Outbox;

/// A client connection, from the moment it is accepted.
pub struct ClientConnection {
    pub outbox: Rc<Outbox>,
    /// Its client, once the handshake is done.
    pub client: Option<ClientId>,
}

/// All open connections.
#[derive(Default)]
pub struct Connections {
    /// Client connections, those in their handshake included.
    accepted: BTreeMap<ConnectionId, ClientConnection>,
    /// Client connections whose handshake is done.
    clients: BTreeMap<ClientId, (ConnectionId, Rc<Outbox>)>,
    /// Connections to core switches.
    trunks: BTreeMap<ServerId, Rc<Outbox>>,
    next_conn: u64,
    next_client: u64,
}

impl Connections {
    /// Allocates a connection number. Numbers are never reused.
    pub fn allocate_conn(&mut self) -> ConnectionId {
        self.next_conn += 1;
        ConnectionId(self.next_conn)
    }

    pub fn insert(&mut self, conn: ConnectionId, outbox: Rc<Outbox>) {
        self.accepted.insert(conn, ClientConnection { outbox, client: None });
    }

    /// Registers the client of a connection whose handshake is done. A connection that was closed meanwhile
    /// to make room is no longer in the list; the reason has already been set in its outbox.
    pub fn handshake_done(&mut self, conn: ConnectionId, outbox: Rc<Outbox>) -> ClientId {
        self.next_client += 1;
        let id = ClientId(self.next_client);
        if let Some(connection) = self.accepted.get_mut(&conn) {
            connection.client = Some(id);
        }
        self.clients.insert(id, (conn, outbox));
        id
    }

    pub fn remove(&mut self, conn: ConnectionId) {
        self.accepted.remove(&conn);
    }

    /// Number of client connections, those in their handshake included.
    pub fn open_count(&self) -> usize {
        self.accepted.len()
    }

    /// Number of client connections whose handshake is done.
    pub fn client_count(&self) -> usize {
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

    /// Whether `outbox` still belongs to the present connection to that switch.
    pub fn is_current(&self, server: ServerId, outbox: &Rc<Outbox>) -> bool {
        self.trunks.get(&server).is_some_and(|current| Rc::ptr_eq(current, outbox))
    }

    /// Closes a client connection at any stage, with a reason that is sent to the client.
    pub fn close(&mut self, conn: ConnectionId, code: CloseCode, reason: &'static str) {
        let Some(connection) = self.accepted.remove(&conn) else { return };
        match connection.client {
            Some(_) => send_close(&connection.outbox, code, reason),
            // During the handshake the reason is sent as an HTTP response.
            None => connection.outbox.finish_with_reason(reason),
        }
    }

    /// Closes all client connections.
    pub fn close_all_clients(&self, code: CloseCode, reason: &'static str) {
        for (_, outbox) in self.clients.values() {
            send_close(outbox, code, reason);
        }
        for connection in self.accepted.values().filter(|c| c.client.is_none()) {
            connection.outbox.finish_with_reason(reason);
        }
    }

    /// Whether bytes wait to be written, or a handshake is still to be refused.
    pub fn has_pending_work(&self) -> bool {
        let mut outboxes = self.clients.values().map(|(_, o)| o).chain(self.trunks.values());
        outboxes.any(|o| o.backlog() > 0) || self.accepted.values().any(|c| c.client.is_none())
    }
}

/// Sends a close frame to a client; its outbox then accepts nothing more.
pub fn send_close(outbox: &Outbox, code: CloseCode, reason: &str) {
    let payload = close_payload(code, reason);
    outbox.push(|out| encode_frame(Opcode::Close, &payload, None, out));
    outbox.finish();
}
