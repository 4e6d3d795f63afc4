//! Queries to the name server for the list of core switches, and which datagrams answer them.
//!
//! Queries are sent at a fixed interval whether or not the last one was answered, so a lost response delays
//! news by one interval. A response is of use however late it comes: whether it is news is decided by the
//! serial of its list, not by its age. So queries stay open until they are answered, up to a limit that only
//! bounds the state and the chance to guess an id (RFC 5452 §9.2), not the time that a name server may take.

use std::collections::VecDeque;
use std::time::Duration;

use fawnrouter::Time;
use fawnrouter_dns::{Name, RecordType, Response, ResponseError, query, read_response};

use crate::switch_list::LIST_DNS_NAME;

/// Time between two queries. News is at most this old when it arrives; the platform expects the gateway to
/// know of a change after 1.5 s.
const QUERY_INTERVAL: Duration = Duration::from_millis(250);
/// Most queries that may still be answered: those of 64 s.
const MAX_OPEN_QUERIES: usize = 256;

/// Why a datagram is not used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum AskError {
    /// No open query has this id.
    #[error("the response matches no open query")]
    NoOpenQuery,
    /// The response cannot be read or is not usable.
    #[error(transparent)]
    InvalidResponse(#[from] ResponseError),
}

/// A query to be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListQuery {
    /// The encoded query.
    pub datagram: Vec<u8>,
    /// When the next query is to be sent.
    pub next_at: Time,
}

/// The open queries to one name server.
#[derive(Debug)]
pub struct Ask {
    name: Name,
    open_ids: VecDeque<u16>,
}

impl Default for Ask {
    fn default() -> Self {
        Self::new()
    }
}

impl Ask {
    /// Creates a state without open queries.
    #[must_use]
    pub fn new() -> Self {
        // The name is a valid constant; every test would find an invalid one.
        let name = LIST_DNS_NAME.parse().unwrap_or_else(|_| unreachable!("{LIST_DNS_NAME} is a name"));
        Self { name, open_ids: VecDeque::new() }
    }

    /// Returns the next query. `id` must be unpredictable (RFC 5452 §4).
    pub fn next_query(&mut self, now: Time, id: u16) -> ListQuery {
        self.open_ids.push_back(id);
        if self.open_ids.len() > MAX_OPEN_QUERIES {
            self.open_ids.pop_front();
        }
        ListQuery { datagram: query(id, &self.name, RecordType::Srv), next_at: now.plus(QUERY_INTERVAL) }
    }

    /// Reads a datagram from the name server. A query whose response is unusable stays open, because a valid
    /// response may follow.
    ///
    /// # Errors
    /// Says why the datagram is not used.
    pub fn accept_response(&mut self, datagram: &[u8]) -> Result<Response, AskError> {
        let id = datagram.get(..2).and_then(|b| b.try_into().ok()).map(u16::from_be_bytes);
        let id = id.ok_or(AskError::NoOpenQuery)?;
        let position = self.open_ids.iter().position(|open| *open == id).ok_or(AskError::NoOpenQuery)?;
        let answer = read_response(datagram, id, &self.name, RecordType::Srv)?;
        // Only one: another open query may have the same id.
        self.open_ids.remove(position);
        Ok(answer)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn reply(question: &[u8], code: u8) -> Vec<u8> {
        let mut reply = question.to_vec();
        (reply[2], reply[3]) = (0x80, code);
        reply
    }

    #[test]
    fn open_queries_accept_one_response_each_and_stay_open_after_a_failure() {
        let mut ask = Ask::new();
        let now = Time::from_nanos(0);
        let asked: Vec<Vec<u8>> =
            (0..=MAX_OPEN_QUERIES as u16).map(|id| ask.next_query(now, id).datagram).collect();
        assert_eq!(ask.accept_response(&reply(&asked[0], 0)), Err(AskError::NoOpenQuery), "too many since");
        assert_eq!(
            ask.accept_response(&reply(&asked[1], 2)),
            Err(AskError::InvalidResponse(ResponseError::ResponseCode(2)))
        );
        assert!(ask.accept_response(&reply(&asked[1], 0)).is_ok());
        assert_eq!(ask.accept_response(&reply(&asked[1], 0)), Err(AskError::NoOpenQuery), "a duplicate");
        assert!(ask.accept_response(&reply(&asked[4], 0)).is_ok());
        assert_eq!(ask.accept_response(&[]), Err(AskError::NoOpenQuery));
    }

    #[test]
    fn queries_with_the_same_id_accept_one_response_each() {
        let mut ask = Ask::new();
        let asked = ask.next_query(Time::from_nanos(0), 7).datagram;
        ask.next_query(Time::from_nanos(0), 7);
        assert!(ask.accept_response(&reply(&asked, 0)).is_ok());
        assert!(ask.accept_response(&reply(&asked, 0)).is_ok());
        assert_eq!(ask.accept_response(&reply(&asked, 0)), Err(AskError::NoOpenQuery));
    }
}
